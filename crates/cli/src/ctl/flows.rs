//! `sagemast ctl flows`: listeners for UDP flows.

use clap::Subcommand;
use sagemast_daemon::frames::{Ask, FlowsReport};
use sagemast_flows::api::{Drop, End};

use super::table;

/// What can be asked about them.
#[derive(Subcommand)]
pub enum Command {
    /// Show all listeners, with their servers.
    List,
    /// Show one listener: its counts, its servers, its first flows.
    Show {
        /// Its name.
        name: String,
        /// How many flows to show.
        #[arg(long, default_value_t = 20)]
        flows: usize,
    },
    /// Move a flow, or all flows of a server.
    Move {
        /// The listener.
        name: String,
        /// The number of the flow.
        #[arg(long, required_unless_present = "from")]
        flow: Option<u64>,
        /// The server that it is to go to; chosen by the module if it is not given.
        #[arg(long, requires = "flow")]
        to: Option<String>,
        /// The server whose flows are all to move.
        #[arg(long, conflicts_with = "flow")]
        from: Option<String>,
    },
    /// End a flow. Its client's next datagram begins another.
    Drop {
        /// The listener.
        name: String,
        /// The number of the flow.
        flow: u64,
    },
}

impl Command {
    /// As the daemon is asked it.
    pub fn ask(&self) -> Ask {
        match self {
            Command::List => Ask::Flows { name: None, flows: 0 },
            Command::Show { name, flows } => Ask::Flows { name: Some(name.clone()), flows: *flows },
            Command::Move { name, flow, to, from } => Ask::FlowsMove {
                name: name.clone(),
                flow: *flow,
                server: if flow.is_some() { to.clone() } else { from.clone() },
            },
            Command::Drop { name, flow } => Ask::FlowsDrop { name: name.clone(), flow: *flow },
        }
    }

    /// The answer, for people.
    pub fn print(&self, reports: &[FlowsReport]) {
        if reports.is_empty() {
            return println!("there are none: the fleet file has no key `daemon.flows`");
        }
        if let Command::Show { .. } = self {
            return reports.iter().for_each(show);
        }
        let head =
            ["NAME", "LISTEN", "FLOWS", "OF", "UNANSWERED", "SERVERS", "IN", "OUT", "DROPPED", "KERNEL"];
        let mut rows = vec![head.map(str::to_owned)];
        rows.extend(reports.iter().map(|report| {
            let serving = report.servers.iter().filter(|server| server.state == "serving").count();
            [
                report.name.clone(),
                report.listen.clone(),
                report.flows[0].to_string(),
                report.flows[1].to_string(),
                report.tentative[0].to_string(),
                format!("{serving}/{}", report.servers.len()),
                report.counts.received[0].to_string(),
                report.counts.forwarded[1].to_string(),
                report.counts.dropped.iter().sum::<u64>().to_string(),
                report.kernel_drops.map_or_else(|| "?".to_owned(), |drops| drops.to_string()),
            ]
        }));
        table(&rows);
    }
}

fn show(report: &FlowsReport) {
    let counts = &report.counts;
    println!("{} at {}", report.name, report.listen);
    println!(
        "flows {} of {}, unanswered {} of {}, source prefixes {}",
        report.flows[0], report.flows[1], report.tentative[0], report.tentative[1], report.sources
    );
    println!(
        "begun {}, answered {}, restored {}, moved {}, servers lost {} by refusal and {} by silence, back {}",
        counts.begun,
        counts.answered,
        counts.restored,
        counts.moved.iter().sum::<u64>(),
        counts.lost[0],
        counts.lost[1],
        counts.back
    );
    println!("other address {}, id in use elsewhere {}", counts.rebound, counts.claimed);
    let some = |pairs: Vec<(&'static str, u64)>| {
        let told: Vec<String> =
            pairs.into_iter().filter(|(_, n)| *n > 0).map(|(word, n)| format!("{word} {n}")).collect();
        if told.is_empty() { "none".to_owned() } else { told.join(", ") }
    };
    println!("ended: {}", some(End::ALL.map(|end| (end.word(), counts.ended[end as usize])).to_vec()));
    let mut drops = Drop::ALL.map(|why| (why.word(), counts.dropped[why as usize])).to_vec();
    drops.push(("kernel", report.kernel_drops.unwrap_or(0)));
    println!("datagrams dropped: {}", some(drops));
    let mut rows = vec![["SERVER", "DIAL", "STATE", "FLOWS", "LIVE", "PER S"].map(str::to_owned)];
    rows.extend(report.servers.iter().map(|server| {
        [
            server.name.clone(),
            server.dial.clone(),
            server.state.clone(),
            server.flows[0].to_string(),
            server.flows[1].to_string(),
            format!("{:.0}", server.per_s),
        ]
    }));
    println!();
    table(&rows);
    if report.table.is_empty() {
        return;
    }
    let head = ["FLOW", "CLIENT", "SERVER", "STATE", "AGE S", "CLIENT S", "SERVER S", "IN", "OUT"];
    let mut rows = vec![head.map(str::to_owned)];
    let seconds = |ms: f64| if ms < 0.0 { "-".to_owned() } else { format!("{:.1}", ms / 1e3) };
    rows.extend(report.table.iter().map(|flow| {
        [
            flow.flow.to_string(),
            flow.client.clone(),
            flow.server.clone(),
            if flow.live { "live" } else { "unanswered" }.to_owned(),
            seconds(flow.ages_ms[0]),
            seconds(flow.ages_ms[1]),
            seconds(flow.ages_ms[2]),
            flow.datagrams[0].to_string(),
            flow.datagrams[1].to_string(),
        ]
    }));
    println!();
    table(&rows);
}
