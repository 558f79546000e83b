//! The single-sidecar program: `sagemast` without a daemon, one instance on the main thread.

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
use sagemast_sidecar::request_ids::RequestIds;
use sagemast_sidecar::resource_limits::ResourceLimits;
use sagemast_sidecar::watch_liveness;

/// How long connections are accepted after SIGTERM if there is no successor. Clients still connect for up to
/// 0.4 s, and requests on connections in the accept queue must be answered.
const CLOSE_LINGER: Duration = Duration::from_millis(550);
/// Time limit of a drain beyond the longest deadline. The platform sends SIGKILL soon after it.
const DRAIN_MARGIN: Duration = Duration::from_millis(640);
/// How long an idle connection may carry one more request after a successor has begun to serve on the same
/// socket.
const HANDOVER_LINGER: Duration = Duration::from_secs(1);

/// Runs the sidecar until it has ended.
pub fn run(log: &Log) -> Result<()> {
    let config = Config::from_env()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the runtime")?;
    runtime.block_on(run_sidecar(config, log))
}

async fn run_sidecar(config: Config, log: &Log) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("cannot wait for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("cannot wait for SIGINT")?;
    // An unhandled SIGHUP would end the program, so the handler is installed before the program becomes
    // visible to others.
    let mut hangup = signal(SignalKind::hangup()).context("cannot wait for SIGHUP")?;
    let cross_zone_budget = read_cross_zone_budget(&config)?;
    let console_listener = config.console.map(Console::listen).transpose()?;
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
    // The instance starts in standby until it is ready: the configured host list may contain upstreams that
    // have begun to drain since. Until then, clients of a shared socket are accepted by the other processes
    // that listen on it, and clients of an own socket wait in its accept queue.
    let (ready, shared_socket) = (Arc::new(Notify::new()), inherited.is_some());
    let ready_notifier = ready.clone();
    let events = EventSink::from_fn(move |event| {
        if event == InstanceEvent::Ready {
            ready_notifier.notify_one();
        }
        true
    });
    let handover_directory = if shared_socket { HandoverDirectory::from_env() } else { None };
    let mut predecessor = match &handover_directory {
        Some(directory) => Predecessor::connect(directory, log).await,
        None => None,
    };
    let configured_sidecars = config.settings.settings().sidecars;
    let ResourceLimits { connections, transfers } = config.resource_limits()?;
    let budgets = Budgets::with_limits(connections, transfers);
    let request_ids = RequestIds::default();
    log.line(format!("listening on {address}"));
    let (instance, control) = Instance::new(InstanceConfig {
        settings: config.settings_with_identity(),
        seed: config.seed(),
        discovery: config.discovery,
        initial_host_list: config.initial_host_list,
        handover_state: predecessor.as_mut().and_then(|predecessor| predecessor.handover_state.take()),
        listener: Arc::new(listener),
        budgets: budgets.clone(),
        request_ids: request_ids.clone(),
        cross_zone_budget: cross_zone_budget.clone(),
        log: log.clone(),
        events,
        standby: true,
    });
    let _console = console_listener
        .map(|listener| Console::start(listener, control.clone(), log.clone()))
        .transpose()?;
    let succession = handover_directory.map(|directory| {
        handover::run(
            directory,
            predecessor,
            control.clone(),
            budgets,
            request_ids,
            configured_sidecars,
            log.clone(),
        )
    });
    // An instance with its own socket that has no host list by then accepts clients and answers that it is
    // not ready.
    let startup_wait =
        watch_liveness::startup_wait(Duration::from_secs_f64(config.settings.shortest_aim_ms() / 1e3));
    let started_at = Instant::now();
    let mut open_at = (!shared_socket).then_some(started_at + startup_wait);
    let mut running = tokio::spawn(instance.run());
    loop {
        tokio::select! {
            _ = terminate.recv() => break log.line("SIGTERM: finishing what is held"),
            _ = interrupt.recv() => break log.line("SIGINT: finishing what is held"),
            () = sleep_until(open_at.unwrap_or(started_at)), if open_at.is_some() => {
                open_at = None;
                control.open();
            }
            () = ready.notified() => {
                open_at = None;
                control.open();
                log.line("serving");
                succession.iter().for_each(SuccessionHandle::set_serving);
            }
            _ = hangup.recv() => reload(address, &control, cross_zone_budget.as_ref(), log),
            // Without its instance the program is of no use; the platform starts it again.
            result = &mut running => match result {
                Ok(ExitReason::Failed(reason)) => bail!("{reason}"),
                result => bail!("the instance has ended: {result:?}"),
            },
        }
    }
    log_crossings(cross_zone_budget.as_ref(), log);
    let max_duration = control.longest_deadline() + DRAIN_MARGIN;
    // Without a successor no other process accepts the connections in the accept queue.
    control.drain(match succession.as_ref().is_some_and(SuccessionHandle::has_serving_successor) {
        true => Drain::HandOver { linger: HANDOVER_LINGER, max_duration },
        false => Drain::Close { linger: CLOSE_LINGER, max_duration },
    });
    let exit_reason = running.await.context("the instance has failed")?;
    if let Some(succession) = succession {
        succession.finish().await;
    }
    match exit_reason {
        ExitReason::Drained => Ok(()),
        ExitReason::Overdue => {
            log.line("the time limit of the drain has passed with client connections open");
            Ok(())
        }
        ExitReason::Failed(reason) => bail!("{reason}"),
    }
}

/// Reads the configuration again and applies the parts that can change without a restart. An invalid
/// configuration changes nothing.
fn reload(
    listening_on: std::net::SocketAddr,
    control: &Control,
    current_budget: Option<&CrossZoneBudget>,
    log: &Log,
) {
    log_crossings(current_budget, log);
    let result = Config::from_env().and_then(|config| Ok((read_cross_zone_budget(&config)?, config)));
    match result {
        Ok((new_budget, config)) => {
            match (current_budget, new_budget) {
                // The counts depend on the names in the settings, and these change only with a restart.
                (Some(CrossZoneBudget { counts, .. }), Some(new_budget))
                    if *counts.names() == *new_budget.counts.names() =>
                {
                    control.set_cross_zone_budget(Some(CrossZoneBudget {
                        counts: counts.clone(),
                        ..new_budget
                    }));
                }
                (None, None) => {}
                _ => log.line("SIGHUP: other zones or classes for SAGEMAST_POOLS require a restart"),
            }
            log.line(format!("SIGHUP: discovery is at {}", config.discovery));
            if config.listen.port() != 0 && config.listen != listening_on {
                log.line(format!("SIGHUP: listening on {} requires a restart", config.listen));
            }
            control.watch_discovery(config.discovery);
        }
        Err(error) => log.line(format!("SIGHUP: the old configuration stays: {error:#}")),
    }
}

/// Reads the budgets for cross-zone traffic from the file that SAGEMAST_POOLS names, if it is set.
fn read_cross_zone_budget(config: &Config) -> Result<Option<CrossZoneBudget>> {
    let Some(path) = std::env::var_os("SAGEMAST_POOLS") else { return Ok(None) };
    let shown_path = path.to_string_lossy();
    let text = std::fs::read_to_string(&path).with_context(|| format!("cannot read {shown_path}"))?;
    let result = File::read(&text).and_then(|file| CrossZoneBudget::from_file(&file, &config.settings));
    match result {
        Ok(budget) => Ok(Some(budget)),
        Err(faults) => {
            let lines: Vec<String> = faults.iter().map(|fault| format!("{shown_path}:{fault}")).collect();
            bail!("{}", lines.join("; "))
        }
    }
}

/// Logs the cross-zone traffic so far, by class and zone.
fn log_crossings(budget: Option<&CrossZoneBudget>, log: &Log) {
    let Some(budget) = budget else { return };
    let totals = budget.counts.totals();
    for row in totals.rows.iter().filter(|row| row.is_cross_zone()) {
        let (all_attempts, _) = totals.attempts_and_crossings(Some(&row.class));
        let (crossed, exempted) = (row.attempts(), row.exempted.total());
        let (bytes_out, bytes_in) = (row.bytes_out, row.bytes_in);
        log.line(format!(
            "crossing: {} to {}: {crossed} of {all_attempts} attempts, {exempted} without a budget, \
             {bytes_out} bytes out, {bytes_in} in",
            row.class, row.to
        ));
    }
}
