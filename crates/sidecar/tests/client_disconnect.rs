//! Clients that disconnect before a further attempt of their request, of which the driver has not heard: the socket itself is
//! asked right before the attempt's first byte, whichever attempt it is and wherever its connection comes from.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::{HeaderMap, Method, Uri};
use sagemast_decide::api::{ClassId, RequestId, TenantId};
use sagemast_sidecar::budget::Budgets;
use sagemast_sidecar::client_disconnect::ClientConnection;
use sagemast_sidecar::driver::{Driver, DriverConfig, DriverEvent};
use sagemast_sidecar::hosts::HostList;
use sagemast_sidecar::lifecycle::Lifecycle;
use sagemast_sidecar::log::Log;
use sagemast_sidecar::messages::{ClientEvent, EventSink, FinalAnswer, ForwardedRequest, RequestArrival};
use sagemast_sidecar::metrics::Metrics;
use sagemast_sidecar::transfer::request_body::RequestBody;
use socket2::SockRef;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, timeout};

const SETTINGS: &str = r#"{"classes":[
    {"name":"a","aim":20000.0,"hard_limit":30000.0,"importance":2.0,"effect":"once"}],
    "allowed":{"max_attempts":2,"connect_timeout":5000.0},"peers_total":3,"membership_mode":"automatic","telemetry":{},
    "invariants":{"cold_share":0.1,"warm_up":2e4,"fall_multiple":2.5,"fall":1500.0}}"#;

/// Nothing here takes longer unless it never comes.
const LONG: Duration = Duration::from_secs(20);

/// How a client disconnects, if it does.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Disconnect {
    Never,
    Close,
    EndOfSending,
    Reset,
}

impl Disconnect {
    fn apply(self, client: TcpStream) -> Option<TcpStream> {
        match self {
            Disconnect::Never => Some(client),
            Disconnect::Close => None,
            Disconnect::EndOfSending => {
                client.shutdown(Shutdown::Write).expect("it is open");
                Some(client)
            }
            Disconnect::Reset => {
                SockRef::from(&client).set_linger(Some(Duration::ZERO)).expect("it is open");
                None
            }
        }
    }
}

/// What an upstream is asked, and what it is to answer.
struct Asked {
    stream: TcpStream,
    target: String,
}

impl Asked {
    fn answer(mut self, answer: &str) {
        self.stream.write_all(answer.as_bytes()).expect("the sidecar is there");
    }
}

const SERVED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const TURNED_AWAY: &str = "HTTP/1.1 503 x\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";

/// An upstream that hands each request to the test. Where it listens.
fn upstream(asked: mpsc::UnboundedSender<Asked>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let asked = asked.clone();
            std::thread::spawn(move || {
                let (mut head, mut chunk) = (Vec::new(), [0; 1024]);
                loop {
                    match stream.read(&mut chunk) {
                        Ok(read) if read > 0 => head.extend_from_slice(&chunk[..read]),
                        _ => return,
                    }
                    if head.ends_with(b"\r\n\r\n") {
                        let text = String::from_utf8_lossy(&std::mem::take(&mut head)).into_owned();
                        let target = text.split(' ').nth(1).unwrap_or_default().to_owned();
                        let Ok(stream) = stream.try_clone() else { return };
                        if asked.send(Asked { stream, target }).is_err() {
                            return;
                        }
                    }
                }
            });
        }
    });
    address
}

/// A driver before two upstreams.
struct Stage {
    happenings: mpsc::UnboundedSender<DriverEvent>,
    asked: mpsc::UnboundedReceiver<Asked>,
    next: u64,
    _life: watch::Sender<Lifecycle>,
}

impl Stage {
    fn start() -> Stage {
        let (to_test, asked) = mpsc::unbounded_channel();
        let upstreams = [0, 1].map(|_| upstream(to_test.clone()));
        let entries = upstreams.map(|dial| {
            format!(r#"{{"host":"h{}","dial":"{dial}","health":"ready","born_ms":0}}"#, dial.port())
        });
        let text = format!(r#"{{"seq":1,"whole":true,"hosts":[{}]}}"#, entries.join(","));
        let known: HostList = serde_json::from_str(&text).expect("a list");
        let (life, lives) = watch::channel(Lifecycle::new(false, Instant::now()));
        let (driver, happenings) = Driver::new(DriverConfig {
            settings: serde_json::from_str(SETTINGS).expect("settings"),
            seed: 1,
            // Nobody is there.
            discovery: SocketAddr::from(([127, 0, 0, 1], 9)),
            budgets: Budgets::of(8),
            cross_zone_budget: None,
            metrics: Arc::new(Metrics::new(std::iter::once("a"))),
            log: Log::process(),
            events: EventSink::discard(),
            lifecycle: lives,
        });
        tokio::spawn(driver.run(Some(known), None));
        Stage { happenings, asked, next: 1, _life: life }
    }

    /// A request comes in; its target and where its answer goes.
    fn arrives(&mut self, client: Option<ClientConnection>) -> (String, oneshot::Receiver<FinalAnswer>) {
        self.next += 1;
        let (request, target) = (RequestId(self.next), format!("/a{}", self.next));
        let (reply, answer) = oneshot::channel();
        let forward = ForwardedRequest {
            method: Method::GET,
            target: target.parse::<Uri>().expect("a target"),
            headers: HeaderMap::new(),
            body: RequestBody::Whole(Default::default()),
            client,
        };
        let arrival = RequestArrival {
            request,
            class: ClassId(0),
            tenant: TenantId(0),
            id: target.as_str().into(),
            received_at: Instant::now(),
            time_left: LONG,
            forward,
            reply,
        };
        let arrived = DriverEvent::Client(ClientEvent::Arrived(Box::new(arrival)));
        assert!(self.happenings.send(arrived).is_ok(), "the driver runs");
        (target, answer)
    }

    /// The next request at an upstream.
    async fn asked(&mut self) -> Asked {
        timeout(LONG, self.asked.recv()).await.expect("in time").expect("upstreams run")
    }

    /// Two requests at once, so that both upstreams have an idle connection.
    async fn warm_up(&mut self) {
        let answers = [self.arrives(None).1, self.arrives(None).1];
        let both = [self.asked().await, self.asked().await];
        both.into_iter().for_each(|asked| asked.answer(SERVED));
        for answer in answers {
            assert!(matches!(answer.await, Ok(FinalAnswer::Served(..))));
        }
        sleep(Duration::from_millis(50)).await;
    }
}

/// A client's connection: as the sidecar owns it, and the client's end.
fn client() -> (Arc<Mutex<tokio::net::TcpStream>>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let client = TcpStream::connect(listener.local_addr().expect("an address")).expect("it connects");
    let (accepted, _) = listener.accept().expect("it came");
    accepted.set_nonblocking(true).expect("a socket");
    (Arc::new(Mutex::new(tokio::net::TcpStream::from_std(accepted).expect("a socket"))), client)
}

/// Guards against a further attempt that goes by the first one's look, or by what the driver has heard.
#[tokio::test]
async fn the_client_is_looked_for_before_the_second_attempt() {
    for warm in [false, true] {
        for disconnect in [Disconnect::Never, Disconnect::Close, Disconnect::EndOfSending, Disconnect::Reset]
        {
            let mut stage = Stage::start();
            if warm {
                stage.warm_up().await;
            }
            let (socket, client) = client();
            let (target, answer) = stage.arrives(Some(ClientConnection::of(&socket)));
            let first = stage.asked().await;
            assert_eq!(first.target, target);
            // Nobody tells the driver.
            let _held = disconnect.apply(client);
            first.answer(TURNED_AWAY);
            if disconnect == Disconnect::Never {
                let second = stage.asked().await;
                assert_eq!(second.target, target, "who stays gets a second attempt");
                second.answer(SERVED);
                assert!(matches!(answer.await, Ok(FinalAnswer::Served(..))));
                continue;
            }
            // It has ended for the driver, too, and nothing more is sent.
            let ended = timeout(LONG, answer).await.expect("in time").expect("an answer");
            assert!(!matches!(ended, FinalAnswer::Served(..)), "{disconnect:?}: {ended:?}");
            sleep(Duration::from_millis(100)).await;
            let more = stage.asked.try_recv().map(|asked| asked.target);
            assert!(more.is_err(), "warm {warm}, {disconnect:?}: sent on as {more:?}");
        }
    }
}
