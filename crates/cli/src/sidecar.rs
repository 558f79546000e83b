//! `sagemast` alone: one instance on the main thread, as the platform starts it.

use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use sagemast_pools::file::File;
use sagemast_sidecar::budget::Budgets;
use sagemast_sidecar::config::Config;
use sagemast_sidecar::console::Console;
use sagemast_sidecar::cross_zone_budget::CrossZoneBudget;
use sagemast_sidecar::driver::InstanceEvent;
use sagemast_sidecar::front;
use sagemast_sidecar::handover::{self, HandoverDirectory, Predecessor, SuccessionHandle};
use sagemast_sidecar::inherited_listener;
use sagemast_sidecar::instance::{Control, Drain, ExitReason, Instance, InstanceConfig};
use sagemast_sidecar::log::Log;
use sagemast_sidecar::messages::EventSink;
use sagemast_sidecar::resource_limits::ResourceLimits;
use sagemast_sidecar::watch_liveness;

/// Clients connect for up to 0.4 s after SIGTERM; what waits in the accept queue counts as taken.
const STILL_COMING: Duration = Duration::from_millis(550);
/// After the longest deadline and this, SIGKILL is close.
const LAST_MARGIN: Duration = Duration::from_millis(640);

/// Once a successor listens on the same socket, a connection with nothing open may carry one more request for this long.
const LAST_CALL: Duration = Duration::from_secs(1);

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
    let crossing = budgets(&config)?;
    let console = config.console.map(Console::listen).transpose()?;
    let inherited = std::env::var_os("ROUTER_SOCKET_FD").filter(|text| !text.is_empty());
    let listener = match &inherited {
        Some(text) => {
            let socket = inherited_listener::adopt(&text.to_string_lossy(), config.listen)
                .context("bad ROUTER_SOCKET_FD")?;
            front::listener_from(socket)?
        }
        None => front::listen(config.listen)?,
    };
    let address = listener.local_addr().context("the listener has no address")?;
    // Until it can serve, whoever comes to a socket that others listen on as well is for them, and who comes to one of its
    // own waits there: to send by the list that it was started with would be to send to what has begun to drain since.
    let (ready, shared) = (Arc::new(Notify::new()), inherited.is_some());
    let told_ready = ready.clone();
    let listening = EventSink::from_fn(move |told| {
        if told == InstanceEvent::Ready {
            told_ready.notify_one();
        }
        true
    });
    let place = if shared { HandoverDirectory::from_env() } else { None };
    let mut elder = match &place {
        Some(place) => Predecessor::meet(place, log).await,
        None => None,
    };
    let sidecars = config.settings.settings().sidecars;
    let ResourceLimits { connections, transfers } = config.resource_limits()?;
    let held = Budgets::with_limits(connections, transfers);
    log.line(format!("listening on {address}"));
    let (instance, control) = Instance::new(InstanceConfig {
        settings: config.identified(),
        seed: config.seed(),
        discovery: config.discovery,
        known: config.known,
        estate: elder.as_mut().and_then(|elder| elder.estate.take()),
        listener: Arc::new(listener),
        budgets: held.clone(),
        crossing: crossing.clone(),
        log: log.clone(),
        listening,
        standby: true,
    });
    let _console =
        console.map(|listener| Console::start(listener, control.clone(), log.clone())).transpose()?;
    let succession =
        place.map(|place| handover::run(place, elder, control.clone(), held, sidecars, log.clone()));
    // One that has no list at all by then says so to whoever comes.
    let waits =
        watch_liveness::startup_wait(Duration::from_secs_f64(config.settings.shortest_aim_ms() / 1e3));
    let started = Instant::now();
    let mut opens = (!shared).then_some(started + waits);
    let mut running = tokio::spawn(instance.run());
    loop {
        tokio::select! {
            _ = terminate.recv() => break log.line("SIGTERM: finishing what is held"),
            _ = interrupt.recv() => break log.line("SIGINT: finishing what is held"),
            () = sleep_until(opens.unwrap_or(started)), if opens.is_some() => {
                opens = None;
                control.open();
            }
            () = ready.notified() => {
                opens = None;
                control.open();
                log.line("serving");
                succession.iter().for_each(SuccessionHandle::serves);
            }
            _ = hangup.recv() => reload(address, &control, crossing.as_ref(), log),
            // Without it nothing is answered: better to be started anew.
            ended = &mut running => match ended {
                Ok(ExitReason::Failed(reason)) => bail!("{reason}"),
                ended => bail!("the instance has ended: {ended:?}"),
            },
        }
    }
    told(crossing.as_ref(), log);
    let at_most = control.longest_deadline() + LAST_MARGIN;
    // Without a successor nobody else accepts those who wait.
    control.drain(match succession.as_ref().is_some_and(SuccessionHandle::is_succeeded) {
        true => Drain::HandOver { linger: LAST_CALL, max_duration: at_most },
        false => Drain::Close { linger: STILL_COMING, max_duration: at_most },
    });
    match running.await.context("the instance has failed")? {
        ExitReason::Drained => Ok(()),
        ExitReason::Overdue => {
            log.line("some clients have not let go in time");
            Ok(())
        }
        ExitReason::Failed(reason) => bail!("{reason}"),
    }
}

/// Reads the configuration again. One that is not sound changes nothing.
fn reload(listening: std::net::SocketAddr, control: &Control, crossing: Option<&CrossZoneBudget>, log: &Log) {
    told(crossing, log);
    let read = Config::from_env().and_then(|config| Ok((budgets(&config)?, config)));
    match read {
        Ok((limits, config)) => {
            match (crossing, limits) {
                // Names, and so counts, follow from settings that take a restart.
                (Some(CrossZoneBudget { counts, .. }), Some(new))
                    if *counts.names() == *new.counts.names() =>
                {
                    control.set_crossing(Some(CrossZoneBudget { counts: counts.clone(), ..new }));
                }
                (None, None) => {}
                _ => log.line("SIGHUP: other zones or classes for SAGEMAST_POOLS take a restart"),
            }
            log.line(format!("SIGHUP: discovery is at {}", config.discovery));
            if config.listen.port() != 0 && config.listen != listening {
                log.line(format!("SIGHUP: listening on {} takes a restart", config.listen));
            }
            control.move_discovery(config.discovery);
        }
        Err(error) => log.line(format!("SIGHUP: the old configuration stays: {error:#}")),
    }
}

/// Budgets for traffic between zones, from the file that SAGEMAST_POOLS names, if it is set.
fn budgets(config: &Config) -> Result<Option<CrossZoneBudget>> {
    let Some(path) = std::env::var_os("SAGEMAST_POOLS") else { return Ok(None) };
    let shown = path.to_string_lossy();
    let text = std::fs::read_to_string(&path).with_context(|| format!("cannot read {shown}"))?;
    let read = File::read(&text).and_then(|file| CrossZoneBudget::of(&file, &config.settings));
    match read {
        Ok(crossing) => Ok(Some(crossing)),
        Err(faults) => {
            let lines: Vec<String> = faults.iter().map(|fault| format!("{shown}:{fault}")).collect();
            bail!("{}", lines.join("; "))
        }
    }
}

/// Logs what has crossed so far, by class.
fn told(crossing: Option<&CrossZoneBudget>, log: &Log) {
    let Some(crossing) = crossing else { return };
    let totals = crossing.counts.totals();
    for row in totals.rows.iter().filter(|row| row.is_cross_zone()) {
        let (all, _) = totals.attempts_and_crossings(Some(&row.class));
        let (crossed, bent) = (row.attempts(), row.exempted.total());
        let (out, back) = (row.bytes_out, row.bytes_in);
        log.line(format!(
            "crossing: {} to {}: {crossed} of {all} attempts, {bent} without a budget, {out} bytes out, {back} in",
            row.class, row.to
        ));
    }
}
