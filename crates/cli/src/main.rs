//! The sidecar: one program on real sockets round the decision module.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

use sagemast_sidecar::client::{self, Front, Names, Phase};
use sagemast_sidecar::config::Config;
use sagemast_sidecar::driver::{Driver, Happening};
use sagemast_sidecar::log;

/// Clients connect for up to 0.4 s after SIGTERM; what waits in the accept queue counts as taken.
const STILL_COMING: Duration = Duration::from_millis(550);
/// After the longest deadline and this, SIGKILL is close.
const LAST_MARGIN: Duration = Duration::from_millis(640);

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::line(format!("{error:#}"));
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<()> {
    let config = Config::from_env()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the runtime")?;
    runtime.block_on(sidecar(config))
}

async fn sidecar(config: Config) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("cannot wait for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("cannot wait for SIGINT")?;
    // Unhandled it would end the program; so it is taken before anyone can know that the program runs.
    let mut hangup = signal(SignalKind::hangup()).context("cannot wait for SIGHUP")?;
    let listener = client::listen(config.listen)?;
    let address = listener.local_addr().context("the listener has no address")?;
    log::line(format!("listening on {address}"));
    let (phase, phases) = watch::channel(Phase::Open);
    let (happenings, inbox) = mpsc::unbounded_channel();
    let reloads = happenings.clone();
    let seed = config.seed();
    let longest = Duration::from_secs_f64(config.settings.longest_deadline_ms() / 1e3);
    let names = Names { classes: config.settings.classes(), tenants: config.settings.tenant_names() };
    let front = Arc::new(Front::new(names, phases, happenings));
    let each = config.limits.connections();
    let driver = Driver::new(config.settings, seed, config.discovery, front.clone(), inbox, each);
    let mut driver = tokio::spawn(driver.run(config.known));
    let serving = tokio::spawn(client::serve(listener, front, each));

    loop {
        tokio::select! {
            _ = terminate.recv() => break log::line("SIGTERM: finishing what is held"),
            _ = interrupt.recv() => break log::line("SIGINT: finishing what is held"),
            _ = hangup.recv() => reload(address, &reloads),
            // It never ends by itself. Without it nothing is answered: better to be started anew.
            _ = &mut driver => bail!("the driver has failed"),
        }
    }
    phase.send_replace(Phase::Leaving);
    sleep(STILL_COMING).await;
    phase.send_replace(Phase::Closing);
    if timeout(longest + LAST_MARGIN - STILL_COMING, serving).await.is_err() {
        log::line("some clients have not let go in time");
    }
    Ok(())
}

/// Reads the configuration again. One that is not sound changes nothing.
fn reload(listening: std::net::SocketAddr, happenings: &mpsc::UnboundedSender<Happening>) {
    match Config::from_env() {
        Ok(config) => {
            log::line(format!("SIGHUP: discovery is at {}", config.discovery));
            if config.listen.port() != 0 && config.listen != listening {
                log::line(format!("SIGHUP: listening on {} takes a restart", config.listen));
            }
            // The driver goes before the program does, and then nothing is left to be told.
            let _ = happenings.send(Happening::Reloaded { discovery: config.discovery });
        }
        Err(error) => log::line(format!("SIGHUP: the old configuration stays: {error:#}")),
    }
}
