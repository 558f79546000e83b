//! Adapter that runs many isolated instances of the decision module for the simulator. It reads events and
//! writes actions as JSON lines, and makes no decisions of its own.

mod wire;

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, Write};
use std::process::ExitCode;

use sagemast_decide::Balancer;
use sagemast_decide::api::*;
use sagemast_decide::settings::{Column, report_from_columns};
use wire::*;

/// The decision module of one sidecar, and the columns of its load reports.
struct Instance {
    balancer: Balancer,
    report_columns: Vec<Column>,
}

/// All instances of this process by sidecar name, and the host lists, by number, to which their events refer.
#[derive(Default)]
struct Host {
    instances: HashMap<String, Instance>,
    lists: BTreeMap<u64, Vec<Row>>,
}

impl Host {
    /// Handles one input line and returns the reply.
    fn handle_batch(&mut self, line: &str) -> Result<Reply, String> {
        let batch: Batch = serde_json::from_str(line).map_err(|error| error.to_string())?;
        let mut reply = Reply { turn: batch.turn, parts: Vec::new() };
        for part in batch.parts {
            let mut actions = Vec::new();
            for event in part.inbox {
                self.handle_event(batch.wall, &part.sidecar, event, &mut actions)?;
            }
            if !actions.is_empty() {
                let actions = actions.into_iter().map(WireAction::from).collect();
                reply.parts.push(Outbox { sidecar: part.sidecar, actions });
            }
        }
        Ok(reply)
    }

    fn handle_event(
        &mut self,
        now: f64,
        sidecar: &str,
        event: WireEvent,
        actions: &mut Vec<Action>,
    ) -> Result<(), String> {
        match event {
            WireEvent::Hello { salt, config } => {
                let balancer = Balancer::new(config.settings(), salt);
                let instance = Instance { balancer, report_columns: config.columns() };
                self.instances.insert(sidecar.to_owned(), instance);
                return Ok(());
            }
            WireEvent::DefineList { list, rows_in } => {
                self.lists.insert(list, rows_in);
                return Ok(());
            }
            WireEvent::Killed => {
                // A killed instance cannot carry out its actions from earlier in this batch.
                actions.clear();
                self.instances.remove(sidecar);
                return Ok(());
            }
            _ => {}
        }
        let instance = self
            .instances
            .get_mut(sidecar)
            .ok_or_else(|| format!("event for sidecar {sidecar}, which has not started"))?;
        if let Some(event) = translate(event, &instance.report_columns, &self.lists)? {
            instance.balancer.handle(now, event, actions);
        }
        Ok(())
    }
}

/// Converts a wire event to an event of the decision module; `None` if the module does not handle it.
fn translate(
    event: WireEvent,
    report_columns: &[Column],
    lists: &BTreeMap<u64, Vec<Row>>,
) -> Result<Option<Event>, String> {
    Ok(Some(match event {
        WireEvent::Sync { mode, list } => {
            let listed = || -> Result<Vec<Listing>, String> {
                let number = list.ok_or("sync event without a list number")?;
                let rows = lists.get(&number).ok_or_else(|| format!("list {number} is not defined"))?;
                Ok(rows.iter().map(Listing::from).collect())
            };
            Event::ListReceived(match mode {
                SyncMode::Update => ListUpdate::Changed(listed()?),
                SyncMode::Replace => ListUpdate::Complete(listed()?),
                SyncMode::Restored => ListUpdate::Restored(listed()?),
                SyncMode::Unavailable => ListUpdate::Unavailable,
            })
        }
        WireEvent::Arrival { xid, owner, time_left, category } => Event::RequestArrived {
            request: RequestId(xid.0),
            class: ClassId(category),
            tenant: TenantId(owner),
            time_left,
        },
        WireEvent::Pong { upstream, disposition, server_stats } => Event::ProbeFinished {
            upstream: UpstreamId(upstream),
            answered: Outcome::from(disposition) == Outcome::Ok,
            report: server_stats.map(|stats| report_from_columns(report_columns, &stats)),
        },
        WireEvent::Ring { token } => Event::TimerFired(token),
        WireEvent::Lapsed { xid } => Event::ClientDisconnected(RequestId(xid.0)),
        WireEvent::Returned { xid, ended, upstream, shot, latency, disposition, server_stats } => {
            Event::AttemptFinished(FinishedAttempt {
                request: RequestId(xid.0),
                attempt: AttemptNo(shot),
                upstream: UpstreamId(upstream),
                outcome: disposition.into(),
                latency,
                client_answered: ended,
                report: server_stats.map(|stats| report_from_columns(report_columns, &stats)),
            })
        }
        WireEvent::Heard {} | WireEvent::UnderWay {} => return Ok(None),
        WireEvent::Hello { .. } | WireEvent::DefineList { .. } | WireEvent::Killed => return Ok(None),
    }))
}

fn run() -> Result<(), String> {
    let mut host = Host::default();
    let mut input = std::io::stdin().lock();
    let mut output = std::io::BufWriter::new(std::io::stdout().lock());
    let mut line = String::new();
    for line_number in 1.. {
        line.clear();
        let bytes_read =
            input.read_line(&mut line).map_err(|error| format!("line {line_number}: {error}"))?;
        if bytes_read == 0 {
            break;
        }
        let reply = host.handle_batch(&line).map_err(|reason| format!("line {line_number}: {reason}"))?;
        serde_json::to_writer(&mut output, &reply).map_err(|error| error.to_string())?;
        output.write_all(b"\n").and_then(|()| output.flush()).map_err(|error| error.to_string())?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            eprintln!("sagemast-simhost: {reason}");
            ExitCode::FAILURE
        }
    }
}
