//! The daemon's listeners for UDP flows: what the supervisor does with them, and what it answers about them.

use sagemast_flows::api::FlowId;
use sagemast_sidecar::log::Log;
use sagemast_udp::{Front, Legacy, View};

use crate::config::Process;
use crate::frames::{Answer, FlowReport, FlowServer, FlowsReport, Kind, Reply};
use crate::kept::Kept;

/// An answer of the daemon holds so many flows at most, some 200 bytes each.
const FLOWS_SHOWN: usize = 20_000;

/// The listeners of this process, if it runs any.
#[derive(Default)]
pub struct Udp(Option<Front>);

impl Udp {
    /// Starts what is configured, from what a process before has left, or from what was kept. An error is a plain
    /// line; nothing listens then.
    pub fn start(process: &Process, legacies: Vec<Legacy>, kept: &Kept) -> Result<Udp, String> {
        let Some(file) = &process.flows else { return Ok(Udp(None)) };
        let keepers = |name: &str| kept.flows_keeper(name);
        Front::start(file, legacies, |name| kept.flows(name), &keepers).map(|front| Udp(Some(front)))
    }

    /// Brings another configuration into force.
    pub fn apply(&mut self, process: &Process, kept: &Kept, log: &Log) {
        let Some(file) = &process.flows else {
            self.0 = None;
            return;
        };
        let keepers = |name: &str| kept.flows_keeper(name);
        let front = self.0.get_or_insert_with(Front::default);
        front.apply(file, &keepers).into_iter().for_each(|line| log.line(line));
    }

    /// Has all stand still, and gives what a successor goes on with.
    pub fn freeze(&self) -> Vec<Legacy> {
        self.0.as_ref().map(Front::freeze).unwrap_or_default()
    }

    /// Has all go on after all.
    pub fn thaw(&self) {
        self.0.iter().for_each(Front::thaw);
    }

    /// Has all take no new flow.
    pub fn close(&self) {
        self.0.iter().for_each(Front::close);
    }

    /// Ends all.
    pub fn end(&mut self) {
        self.0 = None;
    }

    /// One listener or all.
    pub fn report(&self, name: Option<&str>, flows: usize) -> Reply {
        let Some(front) = &self.0 else { return Reply::ok(Answer::Flows(Vec::new())) };
        let names = front.names();
        if let Some(name) = name.filter(|name| !names.iter().any(|known| known == name)) {
            return unknown(name);
        }
        let asked = names.iter().filter(|known| name.is_none_or(|name| name == *known));
        let reports = asked.filter_map(|name| front.view(name, flows.min(FLOWS_SHOWN))).map(report);
        Reply::ok(Answer::Flows(reports.collect()))
    }

    /// Moves one flow, or all of a server.
    pub fn move_flows(&self, name: &str, flow: Option<u64>, server: Option<String>) -> Reply {
        let Some(front) = &self.0 else { return unknown(name) };
        let moved = match (flow, server) {
            (Some(flow), server) => {
                let moved = front.move_flow(name, FlowId::from_number(flow), server);
                moved.map(|()| format!("{name}: flow {flow} has moved"))
            }
            (None, Some(server)) => {
                let moved = front.move_server(name, &server);
                moved.map(|count| format!("{name}: {count} flows of {server} move"))
            }
            (None, None) => Err("name a flow, or a server whose flows are to move".to_owned()),
        };
        moved.map_or_else(|text| Reply::error(Kind::Refused, text), Reply::done)
    }

    /// Ends a flow.
    pub fn drop_flow(&self, name: &str, flow: u64) -> Reply {
        let Some(front) = &self.0 else { return unknown(name) };
        match front.drop_flow(name, FlowId::from_number(flow)) {
            Ok(()) => Reply::done(format!("{name}: flow {flow} has ended")),
            Err(text) => Reply::error(Kind::Refused, text),
        }
    }
}

fn unknown(name: &str) -> Reply {
    let text = format!("no listener is named {name:?}; `sagemast ctl flows list` tells those that there are");
    Reply::error(Kind::Unknown, text)
}

fn report(view: View) -> FlowsReport {
    let ms = |age: f64| if age.is_finite() { age.round() } else { -1.0 };
    FlowsReport {
        name: view.name,
        listen: view.listen,
        flows: [view.sizes[0], view.limits[0]],
        tentative: [view.sizes[1], view.limits[1]],
        sources: view.sources,
        kernel_drops: view.kernel_drops,
        counts: view.counts,
        servers: view
            .servers
            .into_iter()
            .map(|server| FlowServer {
                name: server.name,
                dial: server.dial.to_string(),
                state: server.state.to_owned(),
                flows: server.flows,
                per_s: server.per_s,
            })
            .collect(),
        table: view
            .flows
            .into_iter()
            .map(|flow| FlowReport {
                flow: flow.id.number(),
                client: flow.client.to_string(),
                server: flow.server,
                live: flow.live,
                ages_ms: flow.ages.map(ms),
                datagrams: flow.datagrams,
            })
            .collect(),
    }
}
