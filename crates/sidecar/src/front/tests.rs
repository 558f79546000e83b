//! A request that comes in the very moment in which its connection is to be closed. The runtime has one thread, and hears of
//! the bytes only after the connection has heard that it is to close: so each of these crossings is played every time.

use std::io::{Read, Write};

use super::*;
use crate::lifecycle::{Drain, LifecycleRequest};

const REQUEST: &[u8] =
    b"GET /a HTTP/1.1\r\nHost: x\r\nX-Request-ID: 1\r\nX-Priority-Class: a\r\nX-Timeout-Ms: 5000\r\n\r\n";

/// One client connection as it is served, and what may close it.
struct Served {
    client: std::net::TcpStream,
    slot: Arc<ConnectionActivity>,
    life: watch::Sender<Lifecycle>,
    _task: tokio::task::JoinHandle<()>,
}

/// A front that refuses whatever comes, and its life.
fn refusing() -> (Arc<Front>, watch::Sender<Lifecycle>) {
    let (life, lives) = watch::channel(Lifecycle::new(false, Instant::now()));
    let form = ClassForm { name: "a".to_owned(), effect: Effect::Idempotent, put: false };
    let told = EventSink::from_fn(|message| {
        if let ClientEvent::Arrived(arrival) = message {
            let _ = arrival.reply.send(FinalAnswer::Refused(0.0));
        }
        true
    });
    let budgets = crate::budget::Budgets::of(8);
    let front = Front::new(
        RequestNames { classes: vec![form], tenants: Vec::new() },
        lives,
        told,
        budgets.clients.clone(),
        budgets.transfers.clone(),
        Arc::new(Metrics::new(std::iter::once("a"))),
        Log::process(),
    );
    (Arc::new(front), life)
}

fn connect(listener: &TcpListener) -> std::net::TcpStream {
    let address = listener.local_addr().expect("an address");
    let client = std::net::TcpStream::connect(address).expect("it connects");
    client.set_nonblocking(true).expect("it can wait for nothing");
    client
}

/// A connection to a front that refuses whatever comes.
async fn serve_one() -> Served {
    let (front, life) = refusing();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let client = connect(&listener);
    let (stream, _) = listener.accept().await.expect("it comes");
    let slot = Arc::new(ConnectionActivity::new(Instant::now()));
    let kept = slot.clone();
    let task = tokio::spawn(async move { connection(stream, &front, &kept).await });
    Served { client, slot, life, _task: task }
}

/// Reads until there is an answer or the end; what came.
async fn read(client: &mut std::net::TcpStream) -> String {
    let (mut text, mut room) = (String::new(), [0; 4_096]);
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(30) {
        match client.read(&mut room) {
            Ok(0) => break,
            Ok(read) => {
                text.push_str(&String::from_utf8_lossy(&room[..read]));
                if text.ends_with("refused") {
                    break;
                }
            }
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                sleep(Duration::from_millis(2)).await
            }
            Err(_) => break,
        }
    }
    text
}

/// Something that wants the connection closed.
type Reason = fn(&Served);

/// Guards against closing a connection on a request that is whole in its socket: it was taken, and its client would have to
/// send it again, at the end to a listener that is gone.
#[tokio::test]
async fn a_request_that_crosses_the_close_of_its_connection_is_answered() {
    let reasons: [(&str, Reason); 3] = [
        ("a newcomer needs its place", |served| served.slot.make_room.notify_one()),
        ("it is one of many that are quiet", |served| served.slot.let_go.notify_one()),
        ("the end has begun", |served| {
            served.life.send_modify(|life| {
                let (linger, at_most) = (Duration::from_secs(20), Duration::from_secs(30));
                life.request(LifecycleRequest::Drain(Drain::Close { linger, at_most }), Instant::now());
            });
        }),
    ];
    for (reason, close) in reasons {
        for used in [true, false] {
            let mut served = serve_one().await;
            // Until it waits for a request, and has been told of all that came before.
            sleep(Duration::from_millis(20)).await;
            if used {
                served.client.write_all(REQUEST).expect("it is written");
                assert!(read(&mut served.client).await.starts_with("HTTP/1.1 503"), "{reason}");
            }
            // In one turn: the kernel has the whole request before the connection hears of the rest.
            served.client.write_all(REQUEST).expect("it is written");
            close(&served);
            let answer = read(&mut served.client).await;
            assert!(answer.starts_with("HTTP/1.1 503"), "{reason}, used {used}: {answer:?}");
        }
    }
}

/// The same reasons where nothing crosses: it is closed all the same.
#[tokio::test]
async fn a_quiet_connection_is_closed_when_it_is_to_be() {
    for close in
        [(|served| served.slot.make_room.notify_one()) as Reason, |served| served.slot.let_go.notify_one()]
    {
        let mut served = serve_one().await;
        sleep(Duration::from_millis(20)).await;
        close(&served);
        assert_eq!(read(&mut served.client).await, "");
    }
}

/// Guards against letting the listener go while somebody waits in its queue of whom the runtime has not heard: a new
/// connection that is closed with no answer.
#[tokio::test]
async fn who_comes_as_the_listener_is_let_go_is_answered() {
    let (front, life) = refusing();
    let listener = Arc::new(TcpListener::bind("127.0.0.1:0").await.expect("a port"));
    let (at, let_go) = (listener.clone(), Arc::new(std::sync::atomic::AtomicBool::new(false)));
    let told = let_go.clone();
    tokio::spawn(serve(listener, front, move || told.store(true, Ordering::Relaxed)));
    let wish = LifecycleRequest::Drain(Drain::Close {
        linger: Duration::from_secs(20),
        at_most: Duration::from_secs(30),
    });
    life.send_modify(|life| assert!(life.request(wish, Instant::now())));
    // Until it waits for clients, and has been told of all that came before.
    sleep(Duration::from_millis(20)).await;
    // In one turn: the kernel has accepted the client, and then no more are wanted.
    let mut clients = [connect(&at), connect(&at), connect(&at)];
    drop(at);
    clients.iter_mut().for_each(|client| client.write_all(REQUEST).expect("it is written"));
    life.send_modify(|life| assert!(life.advance(Instant::now() + Duration::from_secs(25))));
    for client in &mut clients {
        let answer = read(client).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
    }
    assert!(let_go.load(Ordering::Relaxed));
}
