//! `sagemast` alone: one instance on the main thread, as the platform starts it.

use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use tokio::signal::unix::{SignalKind, signal};

use sagemast_sidecar::budget::Budgets;
use sagemast_sidecar::config::Config;
use sagemast_sidecar::front;
use sagemast_sidecar::instance::{Control, Drain, Ended, Instance, Parts};
use sagemast_sidecar::log::Log;
use sagemast_sidecar::messages::Outlet;

/// Clients connect for up to 0.4 s after SIGTERM; what waits in the accept queue counts as taken.
const STILL_COMING: Duration = Duration::from_millis(550);
/// After the longest deadline and this, SIGKILL is close.
const LAST_MARGIN: Duration = Duration::from_millis(640);

/// Runs it to its end.
pub fn run(log: &Log) -> Result<()> {
    let config = Config::from_env()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the runtime")?;
    runtime.block_on(sidecar(config, log))
}

async fn sidecar(config: Config, log: &Log) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("cannot wait for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("cannot wait for SIGINT")?;
    // Unhandled it would end the program; so it is taken before anyone can know that the program runs.
    let mut hangup = signal(SignalKind::hangup()).context("cannot wait for SIGHUP")?;
    let listener = front::listen(config.listen)?;
    let address = listener.local_addr().context("the listener has no address")?;
    log.line(format!("listening on {address}"));
    let (instance, control) = Instance::new(Parts {
        seed: config.seed(),
        discovery: config.discovery,
        known: config.known,
        listener: Arc::new(listener),
        budgets: Budgets::of(config.limits.connections()),
        log: log.clone(),
        listening: Outlet::nowhere(),
        standby: false,
        settings: config.settings,
    });
    let mut running = tokio::spawn(instance.run());
    loop {
        tokio::select! {
            _ = terminate.recv() => break log.line("SIGTERM: finishing what is held"),
            _ = interrupt.recv() => break log.line("SIGINT: finishing what is held"),
            _ = hangup.recv() => reload(address, &control, log),
            // Without it nothing is answered: better to be started anew.
            ended = &mut running => match ended {
                Ok(Ended::Failed(reason)) => bail!("{reason}"),
                ended => bail!("the instance has ended: {ended:?}"),
            },
        }
    }
    let at_most = control.longest_deadline() + LAST_MARGIN;
    control.drain(Drain::Close { linger: STILL_COMING, at_most });
    match running.await.context("the instance has failed")? {
        Ended::Drained => Ok(()),
        Ended::Overdue => {
            log.line("some clients have not let go in time");
            Ok(())
        }
        Ended::Failed(reason) => bail!("{reason}"),
    }
}

/// Reads the configuration again. One that is not sound changes nothing.
fn reload(listening: std::net::SocketAddr, control: &Control, log: &Log) {
    match Config::from_env() {
        Ok(config) => {
            log.line(format!("SIGHUP: discovery is at {}", config.discovery));
            if config.listen.port() != 0 && config.listen != listening {
                log.line(format!("SIGHUP: listening on {} takes a restart", config.listen));
            }
            control.move_discovery(config.discovery);
        }
        Err(error) => log.line(format!("SIGHUP: the old configuration stays: {error:#}")),
    }
}
