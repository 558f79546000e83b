//! The staleness bound over real sockets, in paused time: a driver and its watch face a discovery that fails
//! in every way, and must apply a change soon after discovery is reachable again.

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

/// A change counts as received this long after discovery had it and was reachable, and after a watch became
/// unresponsive.
const STALENESS_BOUND: Duration = Duration::from_secs(6);
/// Time left of [`STALENESS_BOUND`] in the worst case.
const MARGIN: Duration = Duration::from_millis(50);
/// Discovery rejects calls that have waited for this long.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(2_000);
/// Longest time until a call is answered, network round trip included.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(2_150);
/// Interval of empty lines while nothing changes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of calls in the 3.5 s within which an unresponsive watch is reopened, if they fail at once.
/// They are at least 150 ms apart; later there is at most one a second.
const MAX_CALLS_WHILE_REOPENING: usize = 26;
/// Interval at which the state of the driver is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

const SETTINGS: &str = r#"{"classes":[
    {"name":"a","aim":250.0,"hard_limit":900.0,"importance":2.0,"effect":"repeatable"}],
    "allowed":{"max_attempts":3,"connect_timeout":100.0},"peers_total":300,"membership_mode":"subscribe","telemetry":{},
    "invariants":{"cold_share":0.1,"warm_up":2e4,"fall_multiple":2.5,"fall":1500.0,"must_ask_in":36e6}}"#;

/// How discovery handles a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallHandling {
    /// Answers after [`MAX_ANSWER_TIME`].
    Answer,
    /// Does not answer.
    Hang,
    /// Resets the connection.
    Reset,
    /// Answers 503 after [`MAX_QUEUE_TIME`].
    Reject,
    /// Opens a watch that is unresponsive from the start.
    OpenUnresponsive,
}

/// How open watches fail in an outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WatchFailure {
    Reset,
    Unresponsive,
}

/// State of discovery.
#[derive(Debug, Clone, Copy)]
struct State {
    /// Version of its list.
    seq: u64,
    call_handling: CallHandling,
    /// How open watches fail, if they do.
    watch_failure: Option<WatchFailure>,
}

/// A discovery service that delays calls like one that handles them in turn.
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
        let initial = State { seq: 1, call_handling: CallHandling::Answer, watch_failure: None };
        let state = Arc::new(watch::Sender::new(initial));
        let calls = Arc::new(AtomicUsize::new(0));
        let (served_state, call_count) = (state.clone(), calls.clone());
        let mut serving = JoinSet::new();
        serving.spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                call_count.fetch_add(1, Ordering::Relaxed);
                connections.spawn(serve(stream, served_state.subscribe()));
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
    // A call that begins while discovery is unreachable fails, even if discovery is reachable again before
    // the call ends.
    let call_handling = state.borrow_and_update().call_handling;
    let reset = |stream: &TcpStream| SockRef::from(stream).set_linger(Some(Duration::ZERO));
    if call_handling == CallHandling::Reset {
        return drop(reset(&stream));
    }
    if !matches!(stream.read(&mut head).await, Ok(read) if read > 0) {
        return;
    }
    match call_handling {
        CallHandling::Hang => return drop(stream.read(&mut head).await),
        CallHandling::Answer => sleep(MAX_ANSWER_TIME).await,
        CallHandling::Reject => sleep(MAX_QUEUE_TIME).await,
        CallHandling::Reset | CallHandling::OpenUnresponsive => {}
    }
    let watch_opened: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let answer = if call_handling == CallHandling::Reject {
        b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n"
    } else {
        watch_opened
    };
    if stream.write_all(answer).await.is_err() || call_handling == CallHandling::Reject {
        return;
    }
    if call_handling == CallHandling::OpenUnresponsive {
        return drop(stream.read(&mut head).await);
    }
    let mut sent_seq = 0;
    loop {
        let current = *state.borrow_and_update();
        match current.watch_failure {
            Some(WatchFailure::Reset) => return drop(reset(&stream)),
            Some(WatchFailure::Unresponsive) => return drop(stream.read(&mut head).await),
            None => {}
        }
        let line = match current.seq == sent_seq {
            true => "\n".to_owned(),
            false => format!("{}\n", list(current.seq)),
        };
        sent_seq = current.seq;
        if stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).await.is_err() {
            return;
        }
        // Waits for the next change or the next empty line.
        let _ = timeout(KEEP_ALIVE_INTERVAL, state.changed()).await;
    }
}

fn list(seq: u64) -> String {
    format!(
        r#"{{"seq":{seq},"whole":true,"hosts":[{{"host":"h{seq}","dial":"127.0.0.1:9","health":"ready","born_ms":0}}]}}"#
    )
}

/// A running driver, and the metrics that show what it has applied.
struct Sidecar {
    metrics: Arc<Metrics>,
    _running: JoinSet<()>,
    _lifecycle: watch::Sender<Lifecycle>,
}

impl Sidecar {
    fn start(discovery: SocketAddr, seed: u64, log: Log) -> Sidecar {
        let (lifecycle_sender, lifecycle) = watch::channel(Lifecycle::new(false, Instant::now()));
        let metrics = Arc::new(Metrics::new(std::iter::once("a")));
        let (driver, driver_events) = Driver::new(DriverConfig {
            settings: serde_json::from_str(SETTINGS).expect("settings"),
            seed,
            discovery,
            budgets: Budgets::with_connections(8),
            cross_zone_budget: None,
            metrics: metrics.clone(),
            log,
            events: EventSink::discard(),
            lifecycle,
        });
        let initial_list: HostList = serde_json::from_str(&list(1)).expect("a list");
        let mut running = JoinSet::new();
        running.spawn(async move {
            driver.run(Some(initial_list), None).await;
            drop(driver_events);
        });
        Sidecar { metrics, _running: running, _lifecycle: lifecycle_sender }
    }

    /// Waits until it has applied this version.
    async fn wait_until_applied(&self, seq: u64) {
        while self.metrics.host_list_version.load(Ordering::Relaxed) != seq {
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// An outage of discovery.
#[derive(Debug, Clone, Copy)]
struct Outage {
    /// How open watches fail when it begins.
    watch_failure: WatchFailure,
    call_handling: CallHandling,
    duration: Duration,
    /// Whether it lasts until another call has begun. That call still fails.
    ends_after_next_call: bool,
}

/// Runs an outage, after which discovery has a change. Returns the time from the end of the outage until the
/// change was applied, and the number of calls.
async fn run_outage(outage: Outage, seed: u64, log: Log) -> (Duration, usize) {
    let discovery = Discovery::start().await;
    let sidecar = Sidecar::start(discovery.address, seed, log);
    // The first watch is opened.
    while discovery.calls.load(Ordering::Relaxed) == 0 {
        sleep(POLL_INTERVAL).await;
    }
    discovery.set(|state| state.seq = 2);
    sidecar.wait_until_applied(2).await;
    sleep(Duration::from_millis(500 + seed * 131 % 1_900)).await;
    discovery.set(|state| {
        (state.call_handling, state.watch_failure) = (outage.call_handling, Some(outage.watch_failure));
    });
    // Open watches must fail before the next change could reach them.
    sleep(POLL_INTERVAL).await;
    sleep(outage.duration).await;
    let calls_before = discovery.calls.load(Ordering::Relaxed);
    while outage.ends_after_next_call && discovery.calls.load(Ordering::Relaxed) == calls_before {
        sleep(POLL_INTERVAL).await;
    }
    discovery
        .set(|state| *state = State { seq: 3, call_handling: CallHandling::Answer, watch_failure: None });
    let reachable_at = Instant::now();
    timeout(Duration::from_secs(60), sidecar.wait_until_applied(3)).await.expect("the change is applied");
    (reachable_at.elapsed(), discovery.calls.load(Ordering::Relaxed))
}

const OUTAGE_DURATIONS: [Duration; 6] = [
    Duration::from_millis(0),
    Duration::from_millis(700),
    Duration::from_millis(2_600),
    Duration::from_millis(5_900),
    Duration::from_millis(8_000),
    Duration::from_millis(21_000),
];

/// Guards against waits that are each within the bound while their sum is not: the silence timeout, the call
/// timeouts, and the waits of the watch and of the decision module between calls.
#[test]
fn change_is_applied_within_the_staleness_bound_however_watches_and_calls_fail() {
    let (mut results, log) = (Vec::new(), Log::process());
    for watch_failure in [WatchFailure::Reset, WatchFailure::Unresponsive] {
        for call_handling in
            [CallHandling::Hang, CallHandling::Reset, CallHandling::Reject, CallHandling::OpenUnresponsive]
        {
            for duration in OUTAGE_DURATIONS {
                for seed in 0..24 {
                    let ends_after_next_call = seed % 2 == 0;
                    let outage = Outage { watch_failure, call_handling, duration, ends_after_next_call };
                    let runtime =
                        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
                    let (applied_after, calls) =
                        runtime.expect("a runtime").block_on(run_outage(outage, seed, log.clone()));
                    let max_calls = MAX_CALLS_WHILE_REOPENING
                        + (duration + applied_after + STALENESS_BOUND).as_secs() as usize;
                    assert!(calls <= max_calls, "{outage:?}: {calls} calls");
                    results.push((applied_after, outage));
                }
            }
        }
    }
    results.sort_by_key(|(applied_after, _)| std::cmp::Reverse(*applied_after));
    let too_late =
        results.iter().filter(|(applied_after, _)| *applied_after > STALENESS_BOUND - MARGIN).count();
    assert_eq!(too_late, 0, "of {} runs, the slowest: {:#?}", results.len(), &results[..5]);
}
