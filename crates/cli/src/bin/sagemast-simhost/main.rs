//! Hosts many isolated instances of the module on the simulator's wire. Decides nothing.

mod wire;

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, Write};
use std::process::ExitCode;

use sagemast_decide::Balancer;
use sagemast_decide::api::*;
use sagemast_decide::settings::{Column, report_from_columns};
use wire::*;

/// One sidecar's module, and how its load reports are laid out.
struct Instance {
    balancer: Balancer,
    columns: Vec<Column>,
}

/// All instances of this process, and the numbered lists that their news refers to.
#[derive(Default)]
struct Host {
    instances: HashMap<String, Instance>,
    lists: BTreeMap<u64, Vec<Row>>,
}

impl Host {
    /// Handles one line and gives the reply.
    fn batch(&mut self, line: &str) -> Result<Reply, String> {
        let batch: Batch = serde_json::from_str(line).map_err(|error| error.to_string())?;
        let mut reply = Reply { turn: batch.turn, parts: Vec::new() };
        for part in batch.parts {
            let mut actions = Vec::new();
            for event in part.inbox {
                self.event(batch.wall, &part.sidecar, event, &mut actions)?;
            }
            if !actions.is_empty() {
                let actions = actions.into_iter().map(WireAction::from).collect();
                reply.parts.push(Outbox { sidecar: part.sidecar, actions });
            }
        }
        Ok(reply)
    }

    fn event(
        &mut self,
        now: f64,
        name: &str,
        event: WireEvent,
        actions: &mut Vec<Action>,
    ) -> Result<(), String> {
        match event {
            WireEvent::Hello { salt, config } => {
                let balancer = Balancer::new(config.settings(), salt);
                let instance = Instance { balancer, columns: config.columns() };
                self.instances.insert(name.to_owned(), instance);
                return Ok(());
            }
            WireEvent::DefineList { list, rows_in } => {
                self.lists.insert(list, rows_in);
                return Ok(());
            }
            WireEvent::Killed => {
                // What a killed instance asked for earlier in this batch dies with it.
                actions.clear();
                self.instances.remove(name);
                return Ok(());
            }
            _ => {}
        }
        let instance = self
            .instances
            .get_mut(name)
            .ok_or_else(|| format!("an event for {name}, which has not started"))?;
        if let Some(event) = translate(event, &instance.columns, &self.lists)? {
            instance.balancer.handle(now, event, actions);
        }
        Ok(())
    }
}

/// Turns a wire event into the module's; `None` for what it has no use for.
fn translate(
    event: WireEvent,
    columns: &[Column],
    lists: &BTreeMap<u64, Vec<Row>>,
) -> Result<Option<Event>, String> {
    Ok(Some(match event {
        WireEvent::Sync { mode, list } => {
            let rows = || -> Result<Vec<Listing>, String> {
                let number = list.ok_or("a list without its number")?;
                let rows = lists.get(&number).ok_or_else(|| format!("list {number} is not defined"))?;
                Ok(rows.iter().map(Listing::from).collect())
            };
            Event::ListReceived(match mode {
                SyncMode::Update => ListUpdate::Changed(rows()?),
                SyncMode::Replace => ListUpdate::Complete(rows()?),
                SyncMode::Restored => ListUpdate::Restored(rows()?),
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
            report: server_stats.map(|stats| report_from_columns(columns, &stats)),
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
                report: server_stats.map(|stats| report_from_columns(columns, &stats)),
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
    for number in 1.. {
        line.clear();
        let read = input.read_line(&mut line).map_err(|error| format!("line {number}: {error}"))?;
        if read == 0 {
            break;
        }
        let reply = host.batch(&line).map_err(|reason| format!("line {number}: {reason}"))?;
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
