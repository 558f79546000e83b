//! UDP flows. A daemon with one listener between stand-in feed servers and viewers: calm, through floods, through the
//! deaths of servers, with flows that go idle; beside a bare pass-through; and the core alone with 100,000 flows.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::{Duration, Instant};

use oorandom::Rand64;
use sagemast_daemon::frames::{Answer, Ask, FlowsReport};
use sagemast_flows::Flows;
use sagemast_flows::api::{Action, Entry, Fate, News};
use sagemast_flows::rules::{IdAt, Rules};
use sagemast_stage::datagrams::{bare, closed_loop, echo};
use sagemast_stage::feeds::{FeedServer, Viewers, flood};
use sagemast_stage::fleet::FleetFile;
use sagemast_stage::procfs::{thread_cpu, usage};
use sagemast_stage::program::Daemon;

use crate::report::Report;

/// Feed servers send each viewer a datagram this often; viewers ask this often.
const EVERY: Duration = Duration::from_millis(100);
const ASK: Duration = Duration::from_millis(250);
const BYTES: usize = 200;
/// Flows and unanswered flows of the listener under test.
const LIMITS: [usize; 2] = [2_000, 400];
const IDLE_MS: f64 = 2_000.0;
/// A tick of the wheel.
const TICK_MS: f64 = 50.0;

fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

fn free_port() -> Result<SocketAddr, String> {
    let socket = std::net::UdpSocket::bind(loopback()).map_err(|error| error.to_string())?;
    socket.local_addr().map_err(|error| error.to_string())
}

/// A daemon with one listener and these servers.
fn daemon(
    program: &Path,
    servers: &[SocketAddr],
    more: &str,
) -> Result<(Daemon, SocketAddr, FleetFile), String> {
    let at = free_port()?;
    let folder = std::env::temp_dir().join(format!("sgr-udp-{}-{}", std::process::id(), at.port()));
    let mut file = FleetFile::new(&folder, loopback());
    file.budgets.0 = 19_000;
    let entry = |(n, at): (usize, &SocketAddr)| format!("{{ name = \"s{n}\", dial = \"{at}\" }}");
    let servers: Vec<String> = servers.iter().enumerate().map(entry).collect();
    file.flows = Some(format!(
        "[[listener]]\nname = \"feeds\"\nlisten = \"{at}\"\nservers = [{}]\n{more}",
        servers.join(", ")
    ));
    let daemon = Daemon::start(program, &file)?;
    Ok((daemon, at, file))
}

fn report(daemon: &Daemon, flows: usize) -> Result<FlowsReport, String> {
    match daemon.ask(Ask::Flows { name: None, flows })? {
        Answer::Flows(reports) => reports.into_iter().next().ok_or_else(|| "no listener".to_owned()),
        other => Err(format!("no report: {other:?}")),
    }
}

/// Lost and received datagrams of all viewers.
fn sums(viewers: &Viewers) -> [u64; 2] {
    viewers.seen().iter().fold([0, 0], |[lost, got], seen| [lost + seen.lost, got + seen.received])
}

async fn wait(span: Duration) {
    tokio::time::sleep(span).await;
}

async fn until(what: &str, mut holds: impl FnMut() -> bool) -> Result<(), String> {
    let start = Instant::now();
    while !holds() {
        if start.elapsed() > Duration::from_secs(20) {
            return Err(format!("never: {what}"));
        }
        wait(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// Runs it.
pub async fn run(program: &Path, short: bool) -> Result<Report, String> {
    let mut out = Report::new("udp-flows");
    feeds(program, short, &mut out).await?;
    pass_through(program, short, &mut out).await?;
    core(short, &mut out);
    evenness(&mut out);
    Ok(out)
}

async fn feeds(program: &Path, short: bool, out: &mut Report) -> Result<(), String> {
    let (count, span) = if short { (200, 2) } else { (500, 10) };
    let span = Duration::from_secs(span);
    let fault = |error: std::io::Error| error.to_string();
    let mut servers = Vec::new();
    for id in 0..4 {
        servers.push(FeedServer::start(loopback(), id, EVERY, BYTES).await.map_err(fault)?);
    }
    let addresses: Vec<SocketAddr> = servers.iter().map(FeedServer::address).collect();
    let more = format!("flows = {}\ntentative = {}\nidle_ms = {IDLE_MS}\n", LIMITS[0], LIMITS[1]);
    let (daemon, at, file) = daemon(program, &addresses, &more)?;
    let from = Ipv4Addr::LOCALHOST.into();
    let start = Duration::from_secs(if short { 1 } else { 3 });
    let viewers = Viewers::start(count, 1, from, at, ASK, start).await.map_err(fault)?;
    until("all feeds are served", || viewers.seen().iter().all(|seen| seen.received > 20)).await?;

    // Calm, then floods: one client with 50,000 ports in a second, then 5,000 addresses with ten each.
    viewers.forget();
    wait(span).await;
    let calm = sums(&viewers);
    let calm_pause = longest(&viewers);
    let before = usage(daemon.pid());
    viewers.forget();
    let mut table = [0, 0];
    for sources in [1, 5_000] {
        let flooding =
            tokio::task::spawn_blocking(move || flood(at, 50_000, sources, Duration::from_secs(1)));
        let until = Instant::now() + span.max(Duration::from_secs(2));
        while Instant::now() < until {
            let now = report(&daemon, 0)?;
            table = [table[0].max(now.flows[0]), table[1].max(now.tentative[0])];
            wait(Duration::from_millis(50)).await;
        }
        out.figure(&format!("flood sent from {sources}"), flooding.await.map_err(|e| e.to_string())? as f64);
    }
    let flooded = sums(&viewers);
    let after = usage(daemon.pid());
    let share = |[lost, got]: [u64; 2]| lost as f64 / (lost + got).max(1) as f64;
    out.figure("feed datagrams calm", calm[1] as f64);
    out.figure("feed datagrams flooded", flooded[1] as f64);
    out.figure("loss calm", share(calm));
    out.bound("loss flooded less calm", share(flooded) - share(calm), 0.001);
    out.figure("longest pause calm ms", calm_pause);
    out.figure("longest pause flooded ms", longest(&viewers));
    out.bound("flows at most", table[0] as f64, LIMITS[0] as f64);
    out.bound("unanswered at most", table[1] as f64, LIMITS[1] as f64);
    out.figure("memory before KiB", before.rss_kib as f64);
    // A place in the table, its key, its socket's place and what the allocator adds.
    out.bound("memory more KiB", after.rss_kib.saturating_sub(before.rss_kib) as f64, LIMITS[0] as f64);
    let counts = report(&daemon, 0)?.counts;
    out.bound("datagrams without a fate", counts.astray().unsigned_abs() as f64, 0.0);
    let moved = viewers.seen().iter().filter(|seen| seen.servers.len() > 1).count();
    out.bound("feeds moved by floods", moved as f64, 0.0);

    // Idle flows: viewers that leave. None is ever seen older than its time and a tick; what is read is a moment old.
    let leaving =
        Viewers::start(100, 10_000, from, at, ASK, Duration::from_millis(500)).await.map_err(fault)?;
    until("they are served", || leaving.seen().iter().all(|seen| seen.received > 3)).await?;
    leaving.stop().await;
    let (mut oldest, mut gone_at) = (0.0_f64, None);
    let left = Instant::now();
    while left.elapsed() < Duration::from_secs(15) {
        let now = report(&daemon, 10_000)?;
        let idle = |flow: &sagemast_daemon::frames::FlowReport| flow.ages_ms[1].min(flow.ages_ms[2].max(0.0));
        let ages = now.table.iter().filter(|flow| flow.live).map(idle);
        oldest = ages.fold(oldest, f64::max);
        if now.flows[0] <= count && gone_at.is_none() {
            gone_at = Some(left.elapsed());
        }
        if gone_at.is_some_and(|at| left.elapsed() > at + Duration::from_millis(200)) {
            break;
        }
        wait(Duration::from_millis(10)).await;
    }
    out.figure("idle flows gone after s", gone_at.map_or(f64::NAN, |at| at.as_secs_f64()));
    out.bound("oldest idle flow ms", oldest, IDLE_MS + TICK_MS + 25.0);

    // Deaths: one server is refused by its host, another falls silent.
    for (what, silent) in [("refused", false), ("silent", true)] {
        viewers.forget();
        if silent {
            servers[0].silence(true);
        } else {
            servers.pop();
        }
        wait(Duration::from_secs(if short { 3 } else { 5 })).await;
        let mut moves: Vec<f64> = viewers.seen().into_iter().flat_map(|seen| seen.moves).collect();
        moves.sort_by(f64::total_cmp);
        let at = |q: f64| {
            moves.get(((moves.len() as f64 - 1.0) * q).round() as usize).copied().unwrap_or(f64::NAN)
        };
        out.figure(&format!("{what}: feeds moved"), moves.len() as f64);
        out.figure(&format!("{what}: move p50 ms"), at(0.5));
        out.bound(&format!("{what}: move p99 ms"), at(0.99), 2_000.0);
        let stuck = viewers.seen().iter().filter(|seen| seen.received == 0).count();
        out.bound(&format!("{what}: feeds stuck"), stuck as f64, 0.0);
    }
    viewers.stop().await;
    drop(daemon);
    let _ = std::fs::remove_dir_all(&file.folder);
    Ok(())
}

fn longest(viewers: &Viewers) -> f64 {
    viewers.seen().iter().map(|seen| seen.longest).fold(0.0, f64::max)
}

/// The listener and a bare pass-through in turn, between the same clients and echo.
async fn pass_through(program: &Path, short: bool, out: &mut Report) -> Result<(), String> {
    let span = Duration::from_secs(if short { 1 } else { 5 });
    let rounds = if short { 1 } else { 3 };
    let fault = |error: std::io::Error| error.to_string();
    let echo = echo().map_err(fault)?;
    let plain = bare(echo.address).map_err(fault)?;
    let more = "flow_per_s = 1e9\nflows = 4000\n";
    let (daemon, at, file) = daemon(program, &[echo.address], more)?;
    let pid = daemon.pid();
    let loads = [("64 flows", 64, 8, 200), ("one flow", 1, 32, 200), ("1,200 bytes", 64, 8, 1_200)];
    for (name, clients, window, bytes) in loads.into_iter().take(if short { 1 } else { 3 }) {
        let mut ratios = Vec::new();
        let mut cpu = [Vec::new(), Vec::new()];
        let mut rates = [0.0, 0.0];
        for _ in 0..rounds {
            let mut per_s = [0.0, 0.0];
            for (side, to) in [plain.address, at].into_iter().enumerate() {
                let used = || if side == 0 { thread_cpu("bare-udp") } else { usage(pid).cpu };
                let before = used();
                let done =
                    tokio::task::spawn_blocking(move || closed_loop(to, clients, window, bytes, 1, span));
                let done = done.await.map_err(|error| error.to_string())?.map_err(fault)?;
                // The first second is of the same load.
                let datagrams = done.per_s * (span.as_secs_f64() + 1.0);
                cpu[side].push((used() - before).as_secs_f64() * 1e6 / datagrams);
                per_s[side] = done.per_s;
                rates[side] = done.per_s;
            }
            ratios.push(per_s[1] / per_s[0]);
        }
        let middle = |all: &mut Vec<f64>| {
            all.sort_by(f64::total_cmp);
            all[all.len() / 2]
        };
        let (ratio, bare_us, ours_us) = (middle(&mut ratios), middle(&mut cpu[0]), middle(&mut cpu[1]));
        out.figure(&format!("{name}: bare round trips per s"), rates[0]);
        out.figure(&format!("{name}: round trips per s"), rates[1]);
        // Told as how much slower, so that it has an upper bound: 0.7 of the bare rate is 1.43.
        out.bound(&format!("{name}: bare rate over ours"), 1.0 / ratio, 1.0 / 0.7);
        out.figure(&format!("{name}: bare us of CPU each"), bare_us);
        out.figure(&format!("{name}: us of CPU each"), ours_us);
        out.bound(&format!("{name}: CPU over bare"), ours_us / bare_us, 1.5);
    }
    drop(daemon);
    let _ = std::fs::remove_dir_all(&file.folder);

    // Many live flows over sockets: told apart by ids, so that one client socket carries them, and by one socket to the
    // server, since a process may not hold so many.
    let many: u64 = if short { 5_000 } else { 100_000 };
    let more = "flow_per_s = 1e9\nflows = 130000\ntentative = 20000\nnew_per_s = 1e6\nall_new_per_s = 1e6\n\
         tentative_per_s = 1e8\nflows_per_weight = 200000\nid = { offset = 0, length = 8 }\n\
         unanswered_ms = 10000\nsockets = \"shared\"\nhello = \"SG\"\n";
    let (daemon, at, file) = self::daemon(program, &[echo.address], more)?;
    let pid = daemon.pid();
    let (mut each, mut live, mut memory) = ([0.0; 2], [0, 0], [0, 0]);
    for (side, flows) in [100, many].into_iter().enumerate() {
        // Once round for all to begin.
        let begin = Duration::from_secs(if short { 0 } else { 4 });
        let begun = tokio::task::spawn_blocking(move || closed_loop(at, 1, 64, 200, flows, begin));
        begun.await.map_err(|error| error.to_string())?.map_err(fault)?;
        let before = usage(pid).cpu;
        let done = tokio::task::spawn_blocking(move || closed_loop(at, 1, 64, 200, flows, span));
        let done = done.await.map_err(|error| error.to_string())?.map_err(fault)?;
        let datagrams = done.per_s * (span.as_secs_f64() + 1.0);
        let now = report(&daemon, 0)?;
        each[side] = (usage(pid).cpu - before).as_secs_f64() * 1e6 / datagrams;
        (live[side], memory[side]) = (now.flows[0] - now.tentative[0], usage(pid).rss_kib);
    }
    out.figure("many flows: live", live[1] as f64);
    out.figure("many flows: us of CPU each", each[1]);
    out.figure("many flows: us of CPU each with 100", each[0]);
    out.bound("many flows: CPU over 100's", each[1] / each[0], 1.5);
    let more_flows = (live[1] - live[0]).max(1) as f64;
    out.figure("many flows: memory each KiB", (memory[1].saturating_sub(memory[0])) as f64 / more_flows);
    drop(daemon);
    let _ = std::fs::remove_dir_all(&file.folder);
    Ok(())
}

/// The core alone, without sockets, in made time: what a datagram costs with 100 and with 100,000 live flows.
fn core(short: bool, out: &mut Report) {
    let many: u64 = if short { 20_000 } else { 100_000 };
    let mut each = [0.0; 2];
    for (side, flows) in [100, many].into_iter().enumerate() {
        let rules = Rules {
            flows: 200_000,
            tentative: 20_000,
            new_per_s: 1e9,
            new_burst: 1e9,
            all_new_per_s: 1e9,
            tentative_per_s: 1e9,
            flow_per_s: 1e9,
            flows_per_weight: 200_000.0,
            id: Some(IdAt { offset: 0, length: 8 }),
            ..Rules::default()
        };
        let before = usage(std::process::id()).rss_kib;
        let mut core = Flows::new(rules, 5, 0.0);
        let mut acts = Vec::new();
        let servers = (0..10).map(|n| entry(n, 1.0)).collect();
        core.news(0.0, News::Complete(servers), &mut acts);
        let from: SocketAddr = (Ipv4Addr::LOCALHOST, 9).into();
        let mut now = 0.0;
        for flow in 0..flows {
            now += 0.01;
            if let Fate::ToServer(id) = core.from_client(now, from, &flow.to_be_bytes(), &mut acts) {
                core.from_server(now, id, 8, &mut acts);
            }
            acts.clear();
        }
        let [all, tentative] = core.sizes();
        if side == 1 {
            let memory = usage(std::process::id()).rss_kib.saturating_sub(before);
            out.figure("core: live flows", (all - tentative) as f64);
            out.figure("core: memory a flow bytes", memory as f64 * 1024.0 / flows as f64);
        }
        let mut dice = Rand64::new(3);
        let rounds = 1_000_000_u64;
        let start = Instant::now();
        for round in 0..rounds {
            now += 0.001;
            let flow = dice.rand_range(0..flows);
            if let Fate::ToServer(id) = core.from_client(now, from, &flow.to_be_bytes(), &mut acts) {
                core.from_server(now, id, 200, &mut acts);
            }
            if round % 64 == 0 {
                core.advance(now, &mut acts);
            }
            acts.clear();
        }
        each[side] = start.elapsed().as_secs_f64() * 1e9 / (2 * rounds) as f64;
    }
    out.figure("core: ns a datagram with 100", each[0]);
    out.figure("core: ns a datagram with many", each[1]);
}

fn entry(number: u16, weight: f64) -> Entry {
    let dial = (Ipv4Addr::new(127, 0, 1, 1), 9_000 + number).into();
    Entry { name: format!("s{number}"), dial, zone: 0, weight, started: None, serving: true }
}

/// Flows over servers 100 times unequal, the core's way, at random, and to the one with the most room of all. Flows
/// come and go; the figure is the largest load of a server over the mean, loads as shares of capacity.
fn evenness(out: &mut Report) {
    let weights: Vec<f64> = (0..20).map(|n| 100_f64.powf(f64::from(n) / 19.0)).collect();
    let per_weight = 10.0;
    let capacity: f64 = weights.iter().sum::<f64>() * per_weight;
    let target = (capacity * 0.6) as usize;
    for way in ["core", "random", "best"] {
        let rules = Rules {
            flows: 100_000,
            tentative: 1_000,
            new_per_s: 1e9,
            new_burst: 1e9,
            all_new_per_s: 1e9,
            tentative_per_s: 1e9,
            flows_per_weight: per_weight,
            ..Rules::default()
        };
        let mut core = Flows::new(rules, 5, 0.0);
        let mut acts = Vec::new();
        let servers = weights.iter().enumerate().map(|(n, w)| entry(n as u16, *w)).collect();
        core.news(0.0, News::Complete(servers), &mut acts);
        let mut dice = Rand64::new(9);
        let mut loads = vec![0.0_f64; weights.len()];
        let mut open = Vec::new();
        let (mut worst, mut looks) = (0.0, 0.0);
        for round in 0..20_000_u32 {
            let now = f64::from(round) * 5.0;
            if open.len() >= target {
                let (id, server) = open.swap_remove(dice.rand_range(0..open.len() as u64) as usize);
                loads[server] -= 1.0;
                if way == "core" {
                    core.end_flow(now, id, &mut acts);
                }
            }
            acts.clear();
            let [_, a, b, c] = round.to_be_bytes();
            let from: SocketAddr = (Ipv4Addr::new(10, a, b, c), 7).into();
            let place = match way {
                "core" => match core.from_client(now, from, b"x", &mut acts) {
                    Fate::ToServer(id) => {
                        let to = acts.iter().find_map(|act| match act {
                            Action::Open { to, .. } => Some(usize::from(to.port() - 9_000)),
                            _ => None,
                        });
                        core.from_server(now, id, 1, &mut acts);
                        to.map(|to| (id, to))
                    }
                    _ => None,
                },
                way => {
                    let to = match way {
                        "random" => dice.rand_range(0..weights.len() as u64) as usize,
                        _ => (0..weights.len())
                            .min_by(|a, b| {
                                let after = |at: &usize| (loads[*at] + 1.0) / weights[*at];
                                after(a).total_cmp(&after(b))
                            })
                            .unwrap_or(0),
                    };
                    Some((sagemast_flows::api::FlowId::from_number(0), to))
                }
            };
            if round % 10 == 0 {
                core.advance(now, &mut acts);
            }
            if let Some((id, to)) = place {
                loads[to] += 1.0;
                open.push((id, to));
            }
            if round > 12_000 && round % 100 == 0 {
                let share = |at: usize| loads[at] / (weights[at] * per_weight);
                let most = (0..weights.len()).map(share).fold(0.0, f64::max);
                worst += most / (open.len() as f64 / capacity);
                looks += 1.0;
            }
        }
        out.figure(&format!("evenness {way}: largest over mean"), worst / looks);
    }
}
