//! One attempt over a real connection, against a peer that does as the test tells it.

use std::io::Read;
use std::net::Shutdown;
use std::sync::Mutex;
use std::sync::mpsc;
use std::time::Duration;

use hyper::header::HeaderValue;
use socket2::SockRef;
use tokio::io::AsyncReadExt;

use super::*;
use crate::budget::Budgets;
use crate::client_disconnect::ClientConnection;

/// A body that a peer's kernel and ours never hold together: what is cut before its end was written in part.
const MORE_THAN_THE_KERNEL_TAKES: usize = 6 << 20;
/// As long as nothing takes unless it never comes.
const FOREVER: Duration = Duration::from_secs(30);

type Heard = Arc<Mutex<Vec<UpstreamEvent>>>;

/// A connection to this address, and what an attempt over it needs to know.
async fn at_hand(dial: SocketAddr) -> (Connection, AttemptInfo) {
    let until = Instant::now() + FOREVER;
    let permit = Budgets::of(1).permit(dial).unwrap();
    let connection = Connection::open(dial, until, permit).await.unwrap();
    let (request, attempt, upstream) = (RequestId(1), AttemptNo(0), UpstreamId(1));
    let flight = AttemptInfo {
        request,
        attempt,
        upstream,
        incarnation: 0,
        until,
        connect_by: until,
        aim_at: until,
        deadline: until,
    };
    (connection, flight)
}

fn common() -> Common {
    Common {
        log: Log::process(),
        metrics: Arc::new(Metrics::new(std::iter::empty())),
        patience: Arc::default(),
        lengths: Arc::default(),
        transfers: TransferLimit::new(1),
    }
}

fn listening() -> (Heard, EventSink<UpstreamEvent>) {
    let told = Heard::default();
    let heard = told.clone();
    let outlet = EventSink::from_fn(move |message| {
        heard.lock().unwrap().push(message);
        true
    });
    (told, outlet)
}

/// How the attempt ended, of which it was told once.
fn told_end(heard: &Heard) -> Outcome {
    let messages = std::mem::take(&mut *heard.lock().unwrap());
    let ends: Vec<Outcome> = messages
        .iter()
        .filter_map(|message| match message {
            UpstreamEvent::Ended { end: AttemptEnd::Outcome(outcome, _), .. } => Some(*outcome),
            _ => None,
        })
        .collect();
    let [outcome] = ends[..] else { panic!("it ends once: {ends:?}") };
    outcome
}

/// A listener whose connections hold hardly anything that is not read.
fn narrow() -> (std::net::TcpListener, SocketAddr) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    SockRef::from(&listener).set_recv_buffer_size(2 << 10).unwrap();
    let dial = listener.local_addr().unwrap();
    (listener, dial)
}

/// A request, with so many bytes of body, as the driver makes one.
fn post(length: usize) -> (Request<AttemptBody>, RequestBody) {
    let request = Request::post("/bill?k=1").header("host", "x").header("content-length", length);
    (request.body(AttemptBody::empty()).unwrap(), RequestBody::Whole(Bytes::from(vec![b'x'; length])))
}

/// Whether these bytes hold a whole request: read by the rules of RFC 9112 and by no code of the program.
fn is_whole(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes);
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let head = head.to_ascii_lowercase();
    if head.contains("transfer-encoding: chunked") {
        return body.ends_with("0\r\n\r\n");
    }
    let length =
        head.lines().find_map(|line| line.strip_prefix("content-length: ")?.parse().ok()).unwrap_or(0);
    body.len() >= length
}

#[tokio::test]
async fn what_was_given_up_before_its_first_turn_is_not_written() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (connection, flight) = at_hand(listener.local_addr().unwrap()).await;
    let (heard, outlet) = listening();
    let (give_up, given_up) = oneshot::channel();
    drop(give_up);
    let outgoing = Request::get("/fetch").header("host", "x").body(AttemptBody::empty()).unwrap();
    attempt(
        connection,
        Writing { request: outgoing, body: RequestBody::Whole(Bytes::new()), terms: None },
        flight,
        given_up,
        common(),
        outlet,
    )
    .await;
    assert_eq!(told_end(&heard), Outcome::NotSent, "it is told that it never left");
    let mut written = Vec::new();
    let (mut accepted, _) = listener.accept().await.unwrap();
    // Its other end closes with the message that gave the connection back.
    accepted.read_to_end(&mut written).await.unwrap();
    assert!(written.is_empty(), "{}", String::from_utf8_lossy(&written));
}

/// Guards against an estimate where proof is owed: whatever shape a request has, and however little of it is read before the
/// connection breaks, one whose last byte the peer has is never said to have not run.
#[tokio::test]
async fn a_request_that_the_peer_has_whole_is_never_taken_for_unsent() {
    let mut rng = oorandom::Rand64::new(40);
    let (mut whole, mut cut) = (0, 0);
    for _ in 0..300 {
        let length = [0, 1, 90, 4_000, 60_000, MORE_THAN_THE_KERNEL_TAKES][rng.rand_range(0..6) as usize];
        let mut request = Request::post(format!("/bill?k={}", "x".repeat(rng.rand_range(0..3_000) as usize)));
        for number in 0..rng.rand_range(0..40) {
            let value = HeaderValue::from_bytes(&vec![0xe4; rng.rand_range(0..200) as usize]).unwrap();
            request = request.header(format!("X-Some-{number}"), value);
        }
        let mut request = request.header("host", "x").body(AttemptBody::empty()).unwrap();
        request.headers_mut().insert(header::CONTENT_LENGTH, HeaderValue::from(length));
        // So many bytes are read, one by one or all at once, and then the connection is reset.
        let most = match rng.rand_range(0..3) {
            0 if length < MORE_THAN_THE_KERNEL_TAKES => usize::MAX,
            1 => rng.rand_range(0..600) as usize,
            _ => rng.rand_range(0..70_000) as usize,
        };
        let (listener, dial) = narrow();
        let peer = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let (mut came, mut room) = (Vec::new(), [0; 4 << 10]);
            while came.len() < most && !is_whole(&came) {
                let next = room.len().min(most - came.len());
                match stream.read(&mut room[..next]) {
                    Ok(read) if read > 0 => came.extend_from_slice(&room[..read]),
                    _ => break,
                }
            }
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            is_whole(&came)
        });
        let (connection, flight) = at_hand(dial).await;
        let (heard, outlet) = listening();
        let (_give_up, given_up) = oneshot::channel();
        let body = RequestBody::Whole(Bytes::from(vec![b'x'; length]));
        attempt(connection, Writing { request, body, terms: None }, flight, given_up, common(), outlet).await;
        let outcome = told_end(&heard);
        let came_whole = peer.join().unwrap();
        assert!(!came_whole || outcome.may_have_run(), "{length} bytes, cut at {most}: {outcome:?}");
        whole += usize::from(came_whole);
        cut += usize::from(!outcome.may_have_run());
    }
    assert!(whole > 50 && cut > 5, "both happen: {whole} came whole, {cut} are proven not to have run");
}

/// Guards against a close that is none: what the kernel still holds back of an attempt that was given up would arrive once the
/// peer reads again, after the next attempt has begun.
#[tokio::test]
async fn what_was_given_up_never_arrives_whole() {
    let (listener, dial) = narrow();
    let (connection, mut flight) = at_hand(dial).await;
    let (mut stream, _) = listener.accept().unwrap();
    let (heard, outlet) = listening();
    let (_give_up, given_up) = oneshot::channel();
    let (request, body) = post(48 << 10);
    // The kernel has taken all of it by then, and the peer has read nothing.
    flight.until = Instant::now() + Duration::from_millis(200);
    attempt(connection, Writing { request, body, terms: None }, flight, given_up, common(), outlet).await;
    assert_eq!(told_end(&heard), Outcome::TimedOut, "all of it was handed over");
    let mut came = Vec::new();
    let _ = stream.read_to_end(&mut came);
    assert!(!is_whole(&came), "{} bytes came", came.len());
}

/// Guards against a request that was turned away before it was whole and goes on arriving on the connection that is kept, while
/// the next attempt is out elsewhere.
#[tokio::test]
async fn what_was_turned_away_early_never_arrives_whole() {
    let (listener, dial) = narrow();
    let (connection, flight) = at_hand(dial).await;
    let (stream, _) = listener.accept().unwrap();
    stream.set_read_timeout(Some(FOREVER / 10)).unwrap();
    let (go, gone) = mpsc::channel();
    let peer = std::thread::spawn(move || {
        let mut stream = stream;
        let mut came = vec![0; 100];
        stream.read_exact(&mut came).unwrap();
        let answer = b"HTTP/1.1 503 x\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
        std::io::Write::write_all(&mut stream, answer).unwrap();
        gone.recv().unwrap();
        let _ = stream.read_to_end(&mut came);
        let _ = stream.shutdown(Shutdown::Both);
        is_whole(&came)
    });
    let (heard, told) = listening();
    // The peer reads on as soon as the driver is told that another attempt may begin.
    let outlet = EventSink::from_fn(move |message| {
        let ended = matches!(message, UpstreamEvent::Ended { .. });
        told.send(message) && (!ended || go.send(()).is_ok())
    });
    let (_give_up, given_up) = oneshot::channel();
    let (request, body) = post(6 << 20);
    attempt(connection, Writing { request, body, terms: None }, flight, given_up, common(), outlet).await;
    assert_eq!(told_end(&heard), Outcome::Full);
    let came_whole = tokio::task::spawn_blocking(move || peer.join().unwrap()).await.unwrap();
    assert!(!came_whole, "the last byte came all the same");
}

/// Guards against an attempt for a client that has gone, of which nobody here has heard yet: its socket is asked right before the
/// first byte. One that is there is served.
#[tokio::test]
async fn the_client_is_looked_for_right_before_the_first_byte() {
    for leaves in [true, false] {
        let clients = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let client = std::net::TcpStream::connect(clients.local_addr().unwrap()).unwrap();
        let accepted = clients.accept().unwrap().0;
        accepted.set_nonblocking(true).unwrap();
        let socket = Arc::new(Mutex::new(tokio::net::TcpStream::from_std(accepted).unwrap()));
        let presence = ClientConnection::of(&socket);
        let stays = (!leaves).then_some(client);
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let (connection, mut flight) = at_hand(listener.local_addr().unwrap()).await;
        let (mut stream, _) = listener.accept().unwrap();
        let (heard, outlet) = listening();
        let (_give_up, given_up) = oneshot::channel();
        flight.until = Instant::now() + Duration::from_millis(100);
        let (request, body) = post(90);
        let terms = Some(WriteConditions { client: presence, until: flight.until });
        attempt(connection, Writing { request, body, terms }, flight, given_up, common(), outlet).await;
        let mut came = Vec::new();
        let _ = stream.read_to_end(&mut came);
        let expected = if leaves { Outcome::NotSent } else { Outcome::TimedOut };
        assert_eq!((told_end(&heard), is_whole(&came)), (expected, stays.is_some()));
    }
}

/// Guards the memory that held answers take: one for which there is no room goes on as it comes, as soon as there is room for
/// that, and is counted. With room it is held until it is whole.
#[tokio::test]
async fn an_answer_that_there_is_no_room_to_hold_goes_on_as_it_comes_and_is_counted() {
    for is_full in [true, false] {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let (connection, flight) = at_hand(listener.local_addr().unwrap()).await;
        let peer = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            // Bytes that no request asked for would end the connection.
            let mut came = Vec::new();
            while !is_whole(&came) {
                let mut room = [0; 512];
                let read = stream.read(&mut room).unwrap();
                came.extend_from_slice(&room[..read]);
            }
            std::io::Write::write_all(&mut stream, b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n").unwrap();
            for _ in 0..30 {
                std::thread::sleep(Duration::from_millis(20));
                let _ = std::io::Write::write_all(&mut stream, b"piece");
            }
            let _ = stream.shutdown(Shutdown::Both);
        });
        let common = common();
        let taken = is_full.then(|| common.transfers.take().expect("one place"));
        let (heard, outlet) = listening();
        let (_give_up, given_up) = oneshot::channel();
        let (request, body) = post(1);
        let writing = Writing { request, body, terms: None };
        let attempt = tokio::spawn(attempt(connection, writing, flight, given_up, common.clone(), outlet));
        // Nobody reads on meanwhile, for longer than answers pause.
        tokio::time::sleep(Duration::from_millis(400)).await;
        drop(taken);
        attempt.await.unwrap();
        let messages = std::mem::take(&mut *heard.lock().unwrap());
        let streamed = messages.iter().any(|message| match message {
            UpstreamEvent::Ended { end: AttemptEnd::Outcome(Outcome::Ok, Some(answer)), .. } => {
                answer.body.is_stream()
            }
            _ => false,
        });
        assert_eq!(streamed, is_full, "{} messages", messages.len());
        assert_eq!(common.metrics.unheld_answers.load(Ordering::Relaxed), u64::from(is_full));
        drop(messages);
        let _ = tokio::task::spawn_blocking(move || peer.join()).await.unwrap();
    }
}
