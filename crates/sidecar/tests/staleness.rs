//! The staleness bound on sockets, with time that passes only while nothing happens: a driver with its watch, beside a
//! discovery that fails in each way, takes in what discovery has soon after it can be reached.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use sagemast_sidecar::budget::Budgets;
use sagemast_sidecar::driver::{Driver, DriverConfig};
use sagemast_sidecar::hosts::HostList;
use sagemast_sidecar::lifecycle::Lifecycle;
use sagemast_sidecar::log::Log;
use sagemast_sidecar::messages::EventSink;
use sagemast_sidecar::metrics::Metrics;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

/// A change counts as told this long after discovery had it and could be reached, and after a watch fell silent.
const BOUND: Duration = Duration::from_secs(6);
/// What is left of it in the worst case.
const MARGIN: Duration = Duration::from_millis(50);
/// Discovery turns a call away that has waited for so long.
const LONGEST_QUEUE: Duration = Duration::from_millis(2_000);
/// One that is answered is answered by then, with what the way to discovery and back takes.
const LONGEST_ANSWER: Duration = Duration::from_millis(2_150);
/// While nothing changes an empty line comes this often.
const ALIVE: Duration = Duration::from_secs(2);
/// Calls in the time after a silence in which they fail at once: 3.5 s, 150 ms apart at least. Later it is one a second at most.
const MAX_CALLS_AFTER_SILENCE: usize = 26;
/// How often the driver is looked at.
const LOOK: Duration = Duration::from_millis(10);

const SETTINGS: &str = r#"{"classes":[
    {"name":"a","aim":250.0,"hard_limit":900.0,"importance":2.0,"effect":"repeatable"}],
    "allowed":{"max_attempts":3,"connect_timeout":100.0},"peers_total":300,"membership_mode":"subscribe","telemetry":{},
    "invariants":{"cold_share":0.1,"warm_up":2e4,"fall_multiple":2.5,"fall":1500.0,"must_ask_in":36e6}}"#;

/// What discovery does with a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Does {
    /// Answers after as long as an answered call may wait.
    Answers,
    /// Says nothing.
    Hangs,
    /// Resets the connection.
    Resets,
    /// Lets it wait and answers 503.
    TurnsAway,
    /// Opens a watch that never says a word.
    OpensInSilence,
}

/// What becomes of an open watch when discovery goes down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WatchEnds {
    Reset,
    Silent,
}

/// Discovery as it stands: the version of its list, what it does with calls, and with open watches.
#[derive(Debug, Clone, Copy)]
struct State {
    seq: u64,
    does: Does,
    watches: Option<WatchEnds>,
}

/// A discovery that works through calls in turn.
struct Discovery {
    address: SocketAddr,
    state: Arc<watch::Sender<State>>,
    calls: Arc<AtomicUsize>,
    _serving: JoinSet<()>,
}

impl Discovery {
    async fn start() -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(watch::Sender::new(State { seq: 1, does: Does::Answers, watches: None }));
        let calls = Arc::new(AtomicUsize::new(0));
        let (seen, counted) = (state.clone(), calls.clone());
        let mut serving = JoinSet::new();
        serving.spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                counted.fetch_add(1, Ordering::Relaxed);
                connections.spawn(serve(stream, seen.subscribe()));
            }
        });
        Discovery { address, state, calls, _serving: serving }
    }

    fn set(&self, change: impl FnOnce(&mut State)) {
        self.state.send_modify(change);
    }
}

async fn serve(mut stream: TcpStream, mut state: watch::Receiver<State>) {
    let mut head = [0; 1024];
    // A call that begins while discovery cannot be reached fails, also where it ends later.
    let does = state.borrow_and_update().does;
    let reset = |stream: &TcpStream| SockRef::from(stream).set_linger(Some(Duration::ZERO));
    if does == Does::Resets {
        return drop(reset(&stream));
    }
    if !matches!(stream.read(&mut head).await, Ok(read) if read > 0) {
        return;
    }
    match does {
        Does::Hangs => return drop(stream.read(&mut head).await),
        Does::Answers => sleep(LONGEST_ANSWER).await,
        Does::TurnsAway => sleep(LONGEST_QUEUE).await,
        Does::Resets | Does::OpensInSilence => {}
    }
    let opens: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let answer = if does == Does::TurnsAway { b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n" } else { opens };
    if stream.write_all(answer).await.is_err() || does == Does::TurnsAway {
        return;
    }
    if does == Does::OpensInSilence {
        return drop(stream.read(&mut head).await);
    }
    let mut told = 0;
    loop {
        let now = *state.borrow_and_update();
        match now.watches {
            Some(WatchEnds::Reset) => return drop(reset(&stream)),
            Some(WatchEnds::Silent) => return drop(stream.read(&mut head).await),
            None => {}
        }
        let line = match now.seq == told {
            true => "\n".to_owned(),
            false => format!("{}\n", list(now.seq)),
        };
        told = now.seq;
        if stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).await.is_err() {
            return;
        }
        // Silence or news.
        let _ = timeout(ALIVE, state.changed()).await;
    }
}

fn list(seq: u64) -> String {
    format!(
        r#"{{"seq":{seq},"whole":true,"hosts":[{{"host":"h{seq}","dial":"127.0.0.1:9","health":"ready","born_ms":0}}]}}"#
    )
}

/// A driver that runs, and what it has taken in.
struct Sidecar {
    metrics: Arc<Metrics>,
    _running: JoinSet<()>,
    _life: watch::Sender<Lifecycle>,
}

impl Sidecar {
    fn start(discovery: SocketAddr, seed: u64, log: Log) -> Sidecar {
        let (life, lives) = watch::channel(Lifecycle::new(false, Instant::now()));
        let metrics = Arc::new(Metrics::new(std::iter::once("a")));
        let (driver, happenings) = Driver::new(DriverConfig {
            settings: serde_json::from_str(SETTINGS).expect("settings"),
            seed,
            discovery,
            budgets: Budgets::of(8),
            cross_zone_budget: None,
            metrics: metrics.clone(),
            log,
            events: EventSink::discard(),
            lifecycle: lives,
        });
        let known: HostList = serde_json::from_str(&list(1)).expect("a list");
        let mut running = JoinSet::new();
        running.spawn(async move {
            driver.run(Some(known), None).await;
            drop(happenings);
        });
        Sidecar { metrics, _running: running, _life: life }
    }

    /// Waits until it has taken this version in.
    async fn takes_in(&self, seq: u64) {
        while self.metrics.seq.load(Ordering::Relaxed) != seq {
            sleep(LOOK).await;
        }
    }
}

/// An outage: how watches end with its beginning, what is done with calls, and for how long.
#[derive(Debug, Clone, Copy)]
struct Outage {
    watches: WatchEnds,
    calls: Does,
    lasts: Duration,
    /// Whether it ends only right after the next call has begun, which fails all the same.
    ends_with_call: bool,
}

/// Plays an outage, after which discovery has a change. How long after it could be had it was taken in, and how many calls
/// were made.
async fn play(outage: Outage, seed: u64, log: Log) -> (Duration, usize) {
    let discovery = Discovery::start().await;
    let sidecar = Sidecar::start(discovery.address, seed, log);
    // Its first watch.
    while discovery.calls.load(Ordering::Relaxed) == 0 {
        sleep(LOOK).await;
    }
    discovery.set(|state| state.seq = 2);
    sidecar.takes_in(2).await;
    sleep(Duration::from_millis(500 + seed * 131 % 1_900)).await;
    discovery.set(|state| {
        (state.does, state.watches) = (outage.calls, Some(outage.watches));
    });
    // Watches that are open learn of it before they could hear of the next change.
    sleep(LOOK).await;
    sleep(outage.lasts).await;
    let before = discovery.calls.load(Ordering::Relaxed);
    while outage.ends_with_call && discovery.calls.load(Ordering::Relaxed) == before {
        sleep(LOOK).await;
    }
    discovery.set(|state| *state = State { seq: 3, does: Does::Answers, watches: None });
    let reachable = Instant::now();
    timeout(Duration::from_secs(60), sidecar.takes_in(3)).await.expect("it is taken in at all");
    (reachable.elapsed(), discovery.calls.load(Ordering::Relaxed))
}

const OUTAGES: [Duration; 6] = [
    Duration::from_millis(0),
    Duration::from_millis(700),
    Duration::from_millis(2_600),
    Duration::from_millis(5_900),
    Duration::from_millis(8_000),
    Duration::from_millis(21_000),
];

/// Guards against waits that are each within the bound, while their sum is not: watch, calls and the waits of watch and module
/// between them.
#[test]
fn a_change_is_taken_in_within_the_bound_whatever_became_of_watch_and_calls() {
    let (mut played, log) = (Vec::new(), Log::process());
    for watches in [WatchEnds::Reset, WatchEnds::Silent] {
        for calls in [Does::Hangs, Does::Resets, Does::TurnsAway, Does::OpensInSilence] {
            for lasts in OUTAGES {
                for seed in 0..24 {
                    let outage = Outage { watches, calls, lasts, ends_with_call: seed % 2 == 0 };
                    let runtime =
                        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
                    let (took, calls) = runtime.expect("a runtime").block_on(play(outage, seed, log.clone()));
                    let most = MAX_CALLS_AFTER_SILENCE + (lasts + took + BOUND).as_secs() as usize;
                    assert!(calls <= most, "{outage:?}: {calls} calls");
                    played.push((took, outage));
                }
            }
        }
    }
    played.sort_by_key(|(took, _)| std::cmp::Reverse(*took));
    let too_late = played.iter().filter(|(took, _)| *took > BOUND - MARGIN).count();
    assert_eq!(too_late, 0, "of {}, the worst: {:#?}", played.len(), &played[..5]);
}
