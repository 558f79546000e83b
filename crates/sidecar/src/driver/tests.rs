//! Moments in which an attempt that nothing was written of crosses something else, played turn by turn.

use super::*;
use crate::transfer::request_body::RequestBody;

const SETTINGS: &str = r#"{"classes":[
    {"name":"a","aim":250.0,"hard_limit":900.0,"importance":2.0,"effect":"repeatable"}],
    "allowed":{"max_attempts":3,"connect_timeout":100.0},"peers_total":3,"membership_mode":"automatic","telemetry":{},
    "invariants":{"cold_share":0.1,"warm_up":2e4,"fall_multiple":2.5,"fall":1500.0}}"#;

fn list(seq: u64, dial: SocketAddr, health: &str, born: u64) -> HostList {
    let text = format!(
        r#"{{"seq":{seq},"hosts":[{{"host":"h","dial":"{dial}","health":"{health}","born_ms":{born}}}]}}"#
    );
    serde_json::from_str(&text).expect("a list")
}

/// A driver with one upstream and one request, whose attempt is on its way to a connection.
struct Played {
    driver: Driver,
    dial: SocketAddr,
    flight: AttemptInfo,
    _answer: oneshot::Receiver<FinalAnswer>,
    _upstream: std::net::TcpListener,
    _life: watch::Sender<lifecycle::Lifecycle>,
}

fn play() -> Played {
    let upstream = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let dial = upstream.local_addr().expect("it has an address");
    let (life, lives) = watch::channel(lifecycle::Lifecycle::new(false, Instant::now()));
    let (mut driver, _) = Driver::new(DriverConfig {
        settings: serde_json::from_str(SETTINGS).expect("settings"),
        seed: 1,
        discovery: dial,
        budgets: Budgets::of(8),
        cross_zone_budget: None,
        metrics: Arc::new(Metrics::new(std::iter::once("a"))),
        log: Log::process(),
        events: EventSink::discard(),
        lifecycle: lives,
    });
    driver.listed(&list(1, dial, "ready", 5), false);
    let (reply, answer) = oneshot::channel();
    driver.arrived(RequestArrival {
        request: RequestId(2),
        class: ClassId(0),
        tenant: TenantId(0),
        id: "2".into(),
        received_at: Instant::now(),
        time_left: Duration::from_secs(60),
        forward: ForwardedRequest {
            method: Method::GET,
            target: Uri::from_static("/a"),
            headers: HeaderMap::new(),
            body: RequestBody::Whole(bytes::Bytes::new()),
            client: None,
        },
        reply,
    });
    let flight = driver.sent.values().next().expect("it is sent").flight;
    Played { driver, dial, flight, _answer: answer, _upstream: upstream, _life: life }
}

/// Something that may cross.
type Crossing = fn(&mut Played);

/// Guards against an attempt that goes on over another connection after its idle one was stale, though its upstream
/// drains by now, or is another process, or the client has left, or it has waited for as long as it may.
#[tokio::test]
async fn a_stale_attempt_goes_on_only_if_it_would_be_sent_now() {
    let crossings: [(&str, bool, Crossing); 7] = [
        ("nothing", true, |_| {}),
        ("a drain", false, |played| played.driver.listed(&list(2, played.dial, "draining", 5), false)),
        ("gone", false, |played| played.driver.listed(&list(2, played.dial, "gone", 5), false)),
        ("another life", false, |played| played.driver.listed(&list(2, played.dial, "ready", 9), false)),
        ("the client leaves", false, |played| {
            played.driver.happened(DriverEvent::Client(ClientEvent::Disconnected(RequestId(2))));
        }),
        ("its wait is over", false, |played| {
            let by = Instant::now().checked_sub(WRITE_IN * 2).expect("the clock has run for longer");
            played.flight.connect_by = by;
        }),
        ("its time is up", false, |played| played.flight.until = Instant::now()),
    ];
    for (what, goes_on, cross) in crossings {
        let mut played = play();
        cross(&mut played);
        let Played { driver, flight, .. } = &mut played;
        driver.ended(*flight, AttemptEnd::Stale, Wire::default());
        let first = (flight.request, flight.attempt);
        assert_eq!(driver.sent.contains_key(&first), goes_on, "{what}");
    }
}
