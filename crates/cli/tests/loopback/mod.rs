//! A small stage of real sockets: upstreams, discovery and clients that do as a test tells them.
#![allow(dead_code)]

pub mod final_answers;
pub mod judge;

use std::collections::VecDeque;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::time::{Duration, Instant};

use final_answers::{WaitEnd, WaitOutcome};

/// Nothing here takes this long unless it never comes.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Waits for a condition.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "waited in vain: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A message of HTTP/1.1 as it was read.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The first line.
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// For an upstream: which of its connections it came on.
    pub connection: usize,
    /// For an upstream: its place among all that happened on this stage.
    pub sequence: u64,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message; `None` at the end of the connection or when it breaks.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    reader.read_line(&mut message.start_line).ok().filter(|read| *read > 0)?;
    message.start_line = message.start_line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        message.headers.push((name.to_owned(), value.trim().to_owned()));
    }
    if message.header("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
        message.body = read_chunks(reader)?;
        return Some(message);
    }
    let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// A body in chunks, with what follows them; `None` if it is not whole.
fn read_chunks(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let size = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
        let at = body.len();
        body.resize(at + size, 0);
        reader.read_exact(&mut body[at..]).ok()?;
        loop {
            line.clear();
            reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
            if line.trim_end().is_empty() {
                break;
            }
        }
        if size == 0 {
            return Some(body);
        }
    }
}

/// What an upstream does with a request.
#[derive(Clone)]
pub enum ScriptedResponse {
    /// Answers: status, further header lines, body.
    Answer(u16, &'static str, Vec<u8>),
    /// Writes this and says no more, with the connection left open.
    Raw(&'static [u8]),
    /// Writes this and closes.
    RawAndClose(&'static [u8]),
    /// Says nothing until the other side closes.
    Unresponsive,
    /// The same, and tells the test of the close.
    UnresponsiveUntilClosed(mpsc::Sender<()>),
    /// Closes without a word.
    Close,
    /// Begins an answer and closes in the middle.
    TruncatedAnswer,
    /// Answers, and closes the connection a moment later without having said so.
    AnswerAndClose,
    /// Answers once the test says so.
    AnswerWhenReleased(Arc<AtomicUsize>),
    /// Writes this and resets the connection.
    RawAndReset(&'static [u8]),
    /// Does this with the connection, which goes on if it says so.
    Custom(Arc<dyn Fn(&mut TcpStream) -> bool + Send + Sync>),
    /// Does this with the connection, and resets it.
    CustomAndReset(Arc<dyn Fn(&mut TcpStream) + Send + Sync>),
}

impl ScriptedResponse {
    pub fn custom(what: impl Fn(&mut TcpStream) -> bool + Send + Sync + 'static) -> ScriptedResponse {
        ScriptedResponse::Custom(Arc::new(what))
    }

    pub fn custom_and_reset(what: impl Fn(&mut TcpStream) + Send + Sync + 'static) -> ScriptedResponse {
        ScriptedResponse::CustomAndReset(Arc::new(what))
    }

    pub fn ok(body: &str) -> ScriptedResponse {
        ScriptedResponse::Answer(200, "", body.as_bytes().to_vec())
    }
}

#[derive(Default)]
struct Log {
    requests: Mutex<Vec<Message>>,
    closed: Mutex<Vec<(usize, u64)>>,
    connections: AtomicUsize,
}

/// The order of happenings over all upstreams of a test process.
static CLOCK: AtomicU64 = AtomicU64::new(1);

/// An upstream on a port of its own.
pub struct Upstream {
    pub address: SocketAddr,
    log: Arc<Log>,
}

impl Upstream {
    pub fn new(deed: impl Fn(&Message) -> ScriptedResponse + Send + Sync + 'static) -> Upstream {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let log = Arc::new(Log::default());
        let (deed, kept) = (Arc::new(deed), log.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (deed, log) = (deed.clone(), kept.clone());
                std::thread::spawn(move || serve(stream, &*deed, &log));
            }
        });
        Upstream { address, log }
    }

    /// The requests that came whole, probes apart.
    pub fn requests(&self) -> Vec<Message> {
        self.log.requests.lock().unwrap().clone()
    }

    pub fn connection_count(&self) -> usize {
        self.log.connections.load(Ordering::SeqCst)
    }

    /// When a connection was closed from the other side.
    pub fn closed_at(&self, connection: usize) -> Option<u64> {
        self.log.closed.lock().unwrap().iter().find(|(c, _)| *c == connection).map(|(_, at)| *at)
    }
}

fn serve(stream: TcpStream, deed: &dyn Fn(&Message) -> ScriptedResponse, log: &Log) {
    let connection = log.connections.fetch_add(1, Ordering::SeqCst);
    let mut writer = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    let answer = |status: u16, more: &str, body: &[u8]| {
        let head = format!("HTTP/1.1 {status} x\r\nContent-Length: {}\r\n{more}\r\n", body.len());
        [head.as_bytes(), body].concat()
    };
    while let Some(mut message) = read_message(&mut reader) {
        if message.start_line.starts_with("GET /metrics/load ") {
            let _ = writer.write_all(&answer(200, "", b"TEXT inflight=0, eps=0, util=0.1"));
            continue;
        }
        message.connection = connection;
        message.sequence = CLOCK.fetch_add(1, Ordering::SeqCst);
        let what = deed(&message);
        judge::record_received(&message, &what);
        log.requests.lock().unwrap().push(message);
        match what {
            ScriptedResponse::Answer(status, more, body) => {
                drop(writer.write_all(&answer(status, more, &body)))
            }
            ScriptedResponse::Raw(bytes) => drop(writer.write_all(bytes)),
            ScriptedResponse::RawAndClose(bytes) => {
                let _ = writer.write_all(bytes);
                let _ = reader.get_ref().shutdown(Shutdown::Both);
                break;
            }
            ScriptedResponse::Unresponsive => {}
            ScriptedResponse::UnresponsiveUntilClosed(closed) => {
                let _ = read_message(&mut reader);
                let _ = closed.send(());
                return;
            }
            ScriptedResponse::Close => return drop(reader.get_ref().shutdown(Shutdown::Both)),
            ScriptedResponse::TruncatedAnswer => {
                let _ = writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf of it");
                return drop(reader.get_ref().shutdown(Shutdown::Both));
            }
            ScriptedResponse::AnswerAndClose => {
                let _ = writer.write_all(&answer(200, "", b"last"));
                std::thread::sleep(Duration::from_millis(20));
                return drop(reader.get_ref().shutdown(Shutdown::Both));
            }
            ScriptedResponse::RawAndReset(bytes) => {
                let _ = writer.write_all(bytes);
                // It is read before the reset takes it away.
                std::thread::sleep(Duration::from_millis(50));
                let _ = rustix::net::sockopt::set_socket_linger(&writer, Some(Duration::ZERO));
                return;
            }
            ScriptedResponse::Custom(what) => {
                if !what(&mut writer) {
                    return drop(reader.get_ref().shutdown(Shutdown::Both));
                }
            }
            ScriptedResponse::CustomAndReset(what) => {
                what(&mut writer);
                let _ = rustix::net::sockopt::set_socket_linger(&writer, Some(Duration::ZERO));
                return;
            }
            ScriptedResponse::AnswerWhenReleased(go) => {
                wait_until("the test lets go", || go.load(Ordering::SeqCst) > 0);
                let _ = writer.write_all(&answer(200, "", b"late"));
            }
        }
    }
    log.closed.lock().unwrap().push((connection, CLOCK.fetch_add(1, Ordering::SeqCst)));
}

/// Discovery: what it is given to say, it says on every watch.
pub struct Discovery {
    pub address: SocketAddr,
    lines: mpsc::Sender<Option<Vec<u8>>>,
    watches: Arc<Mutex<Vec<String>>>,
}

impl Discovery {
    /// Says this first on every watch.
    pub fn new(first: &str) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (lines, said) = mpsc::channel::<Option<Vec<u8>>>();
        let watches = Arc::new(Mutex::new(Vec::new()));
        let (seen, first) = (watches.clone(), first.to_owned());
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                let Some(request) = read_message(&mut reader) else { continue };
                seen.lock().unwrap().push(request.start_line);
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                let _ = write_chunk(&mut stream, format!("{first}\n").as_bytes());
                loop {
                    match said.recv_timeout(Duration::from_millis(300)) {
                        Ok(Some(bytes)) => drop(write_chunk(&mut stream, &bytes)),
                        // The test breaks the watch.
                        Ok(None) => break,
                        Err(mpsc::RecvTimeoutError::Timeout) if write_chunk(&mut stream, b"\n").is_err() => {
                            break;
                        }
                        Err(mpsc::RecvTimeoutError::Timeout) => {}
                        Err(mpsc::RecvTimeoutError::Disconnected) => return,
                    }
                }
            }
        });
        Discovery { address, lines, watches }
    }

    pub fn publish(&self, text: &str) {
        self.lines.send(Some(text.as_bytes().to_vec())).unwrap();
    }

    pub fn close_watch(&self) {
        self.lines.send(None).unwrap();
    }

    /// The first lines of the watches so far.
    pub fn watches(&self) -> Vec<String> {
        self.watches.lock().unwrap().clone()
    }
}

/// Discovery that does with each watch, counted from 0, as the test says, once the watch has been asked for and its head
/// answered. Where it listens, and the first lines of the watches so far.
pub fn scripted_discovery(
    what: impl Fn(usize, &mut TcpStream) + Send + Sync + 'static,
) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (asked, what) = (Arc::new(Mutex::new(Vec::new())), Arc::new(what));
    let seen = asked.clone();
    std::thread::spawn(move || {
        for (number, mut stream) in listener.incoming().flatten().enumerate() {
            let (seen, what) = (seen.clone(), what.clone());
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                let Some(request) = read_message(&mut reader) else { return };
                seen.lock().unwrap().push(request.start_line);
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                what(number, &mut stream);
                // The watch stays open until the sidecar lets it go.
                let _ = read_message(&mut reader);
            });
        }
    });
    (address, asked)
}

pub fn write_chunk(stream: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n", bytes.len()).as_bytes())?;
    stream.write_all(bytes)?;
    stream.write_all(b"\r\n")
}

pub fn server_entry(host: &str, dial: SocketAddr, health: &str) -> String {
    format!(
        r#"{{"host":"{host}","dial":"{dial}","site":"east","class":"std","block":1,"health":"{health}","share":1.0,"born_ms":0}}"#
    )
}

/// A list in discovery's form.
pub fn server_list(seq: u64, whole: bool, entries: &[String]) -> String {
    format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, entries.join(","))
}

/// A list of ready upstreams named a, b, c...
pub fn ready_server_list(upstreams: &[&Upstream]) -> String {
    let name = |number: usize| char::from(b'a' + number as u8).to_string();
    let entries: Vec<String> =
        upstreams.iter().enumerate().map(|(n, u)| server_entry(&name(n), u.address, "ready")).collect();
    server_list(5, true, &entries)
}

/// The settings, in the names of the wire. All servers share a cell.
pub const SETTINGS: &str = r#"{"allowed":{"cancel":true,"connect_timeout":2000.0,"keepalive":60000.0,
"max_attempts":4,"max_retry_after":600.0,"may_duplicate":false,"multiplex":1,"probes":true,"retry_after":true},
"azs":["east","west"],"classes":[
{"aim":3000.0,"dedup_scope":"all","effect":"repeatable","hard_limit":8000.0,"importance":3.0,"name":"fetch"},
{"aim":3000.0,"dedup_scope":"cell","effect":"by_key","hard_limit":8000.0,"importance":3.0,"name":"log","window":5000.0},
{"aim":3000.0,"dedup_scope":"all","effect":"once","hard_limit":8000.0,"importance":2.0,"name":"bill"}],
"fees":{"cross_zone":0.03},"invariants":{"answer_slack":20.0,"cold_share":0.16,"drain_grace":2000.0,
"fall":1500.0,"fall_multiple":2.5,"must_ask_in":400.0,"warm_up":21000.0},"kinds":["std"],
"membership_mode":"automatic","peers_total":3,"period":5.0,"rank":0,
"telemetry":{"columns":["inflight","eps","util"],"how":"pull"},"tenants":[],"weights":"rough","zone":0}"#;

/// A configuration file; `known` is a list in discovery's form, or `null`.
pub fn config_json(
    listen: &str,
    discovery: SocketAddr,
    known: &str,
    sockets: usize,
    settings: &str,
) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"known":{known},"settings":{settings}}}"#
    )
}

/// The real program.
pub struct Sidecar {
    pub child: Child,
    /// Its configuration file.
    pub config_file: PathBuf,
    pub address: SocketAddr,
    pub log: Arc<Mutex<Vec<String>>>,
}

static FILES: AtomicUsize = AtomicUsize::new(0);

/// Starts the program on a configuration, with its standard error piped.
pub fn spawn_program(config: &str) -> Child {
    spawn_with_limit_and_env(config, None, &[]).0
}

/// The same with these variables in its environment.
pub fn spawn_with_env(config: &str, variables: &[(&str, &PathBuf)]) -> Child {
    spawn_with_limit_and_env(config, None, variables).0
}

/// The same with a limit on its descriptors.
fn spawn_with_limit_and_env(
    config: &str,
    descriptors: Option<u32>,
    variables: &[(&str, &PathBuf)],
) -> (Child, PathBuf) {
    let path = written(config);
    let limit = descriptors.map_or(String::new(), |count| format!("ulimit -n {count} && "));
    let child = Command::new("sh")
        .args(["-c", &format!("{limit}exec \"$0\""), env!("CARGO_BIN_EXE_sagemast")])
        .env("ROUTER_CONFIG", &path)
        .envs(variables.iter().copied())
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    (child, path)
}

/// The program on a listening socket that the test holds, as descriptor 3.
pub fn spawn_on_socket(
    socket: &TcpListener,
    config: &str,
    variables: &[(&str, &PathBuf)],
) -> (Child, PathBuf) {
    let path = written(config);
    let child = Command::new("sh")
        .args(["-c", "exec 3<&0 0</dev/null; exec \"$0\"", env!("CARGO_BIN_EXE_sagemast")])
        .env("ROUTER_CONFIG", &path)
        .env("ROUTER_SOCKET_FD", "3")
        .envs(variables.iter().copied())
        .stdin(std::os::fd::OwnedFd::from(socket.try_clone().unwrap()))
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    (child, path)
}

/// A configuration in a file of its own.
fn written(config: &str) -> PathBuf {
    let number = FILES.fetch_add(1, Ordering::SeqCst);
    let name = format!("sagemast-{}-{number}.json", std::process::id());
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, config).unwrap();
    path
}

impl Sidecar {
    /// Starts it and waits until it listens.
    pub fn start(config: &str) -> Sidecar {
        Sidecar::start_with_descriptor_limit(config, None)
    }

    /// The same with a limit on its descriptors.
    pub fn start_with_descriptor_limit(config: &str, descriptors: Option<u32>) -> Sidecar {
        Sidecar::from_child(spawn_with_limit_and_env(config, descriptors, &[]))
    }

    /// The same with these variables in its environment.
    pub fn start_with_env(config: &str, variables: &[(&str, &PathBuf)]) -> Sidecar {
        Sidecar::from_child(spawn_with_limit_and_env(config, None, variables))
    }

    /// Starts it on a listening socket that the test holds, as descriptor 3, with these variables in its environment.
    pub fn start_on_socket(socket: &TcpListener, config: &str, variables: &[(&str, &PathBuf)]) -> Sidecar {
        let (child, file) = spawn_on_socket(socket, config, variables);
        Sidecar::from_child((child, file))
    }

    fn from_child((mut child, file): (Child, PathBuf)) -> Sidecar {
        let mut errors = BufReader::new(child.stderr.take().unwrap());
        let log = Arc::new(Mutex::new(Vec::new()));
        let kept = log.clone();
        std::thread::spawn(move || {
            let mut line = String::new();
            while errors.read_line(&mut line).is_ok_and(|read| read > 0) {
                kept.lock().unwrap().push(std::mem::take(&mut line));
            }
        });
        let mut address = None;
        wait_until("it listens", || {
            let log = log.lock().unwrap();
            let said = log.iter().find_map(|line| line.split_once("listening on ").map(|(_, at)| at));
            address = said.and_then(|at| at.trim().parse().ok());
            address.is_some()
        });
        Sidecar { child, config_file: file, address: address.unwrap(), log }
    }

    /// Starts it with these upstreams and waits until it is up.
    pub fn start_with_upstreams(upstreams: &[&Upstream]) -> (Sidecar, Discovery) {
        Sidecar::start_with_settings(upstreams, SETTINGS)
    }

    pub fn start_with_settings(upstreams: &[&Upstream], settings: &str) -> (Sidecar, Discovery) {
        let known = ready_server_list(upstreams);
        let discovery = Discovery::new(&known);
        let sidecar = Sidecar::start(&config_json("127.0.0.1:0", discovery.address, &known, 1024, settings));
        sidecar.wait_until_up();
        (sidecar, discovery)
    }

    /// Waits until its log holds this.
    pub fn wait_for_log(&self, text: &str) {
        wait_until(text, || self.log.lock().unwrap().iter().any(|line| line.contains(text)));
    }

    /// Puts another configuration in the place of its file and tells it so.
    pub fn reload(&self, config: &str) {
        let beside = self.config_file.with_extension("new");
        std::fs::write(&beside, config).unwrap();
        std::fs::rename(&beside, &self.config_file).unwrap();
        self.signal("-HUP");
    }

    pub fn wait_until_up(&self) {
        wait_until("it is up", || {
            Client::connect(self.address).get("/up").is_some_and(|got| got.status() == 200)
        });
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    /// Stops it where it is, until it is told to go on by SIGCONT.
    pub fn suspend(&self) {
        self.signal("-STOP");
        let file = format!("/proc/{}/stat", self.child.id());
        wait_until("it stands still", || {
            std::fs::read_to_string(&file)
                .unwrap()
                .rsplit(") ")
                .next()
                .is_some_and(|rest| rest.starts_with('T'))
        });
    }

    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until("it ends", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if !std::thread::panicking() {
            judge::assert_no_unsafe_retries();
            judge::assert_no_request_lost(self.address);
        }
    }
}

/// A client with one connection.
pub struct Client {
    pub reader: BufReader<TcpStream>,
    /// The ids of its requests that have no answer yet.
    asked: VecDeque<String>,
    /// The last one that has its answer.
    answered: Option<String>,
    /// Whether it has written anything but requests that the judge knows of.
    is_raw: bool,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        Client { reader: BufReader::new(stream), asked: VecDeque::new(), answered: None, is_raw: false }
    }

    pub fn write(&mut self, text: &[u8]) {
        self.is_raw = true;
        self.try_write(text);
    }

    /// Whether all of it was written: not if the other side has said no and closed.
    fn try_write(&mut self, text: &[u8]) -> bool {
        match self.reader.get_mut().write_all(text) {
            Ok(()) => true,
            // What it said is still to be read.
            Err(error) if matches!(error.kind(), ErrorKind::BrokenPipe | ErrorKind::ConnectionReset) => false,
            Err(error) => panic!("{error}"),
        }
    }

    pub fn read_answer(&mut self) -> Option<Message> {
        let (answer, ended) = self.read_answer_and_end();
        if let Some(id) = self.asked.pop_front() {
            judge::record_end(&id, ended);
            if let Some(answer) = &answer {
                judge::record_answer(&id, answer.status());
                self.answered = Some(id);
            }
        }
        answer
    }

    /// The next answer, if it comes whole, and how the wait for it ended.
    fn read_answer_and_end(&mut self) -> (Option<Message>, WaitEnd) {
        let read_from = Instant::now();
        let first = self.reader.fill_buf().map(|bytes| !bytes.is_empty());
        let begun_at = Instant::now();
        let ended = |end, bytes| WaitEnd {
            outcome: end,
            reading_since: read_from,
            first_byte_at: begun_at,
            ended_at: Instant::now(),
            bytes,
        };
        let begun = match first {
            Ok(begun) => begun,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return (None, ended(WaitOutcome::ReadTimedOut, 0));
            }
            Err(_) => false,
        };
        let mut counted = (&mut self.reader).take(u64::MAX);
        let answer = read_message(&mut counted);
        let bytes = u64::MAX - counted.limit();
        let end =
            if answer.is_some() { WaitOutcome::Answered } else { WaitOutcome::ConnectionClosed { begun } };
        (answer, ended(end, bytes))
    }

    /// Whether anything has come that answers none of its requests. Only asked where the judge knows of all of them.
    fn has_surplus(&self) -> bool {
        let stream = self.reader.get_ref();
        let in_socket =
            || stream.set_nonblocking(true).is_ok() && stream.peek(&mut [0; 1]).is_ok_and(|count| count > 0);
        !self.reader.buffer().is_empty() || in_socket()
    }

    /// Reads on until the other side closes; what came before that. `None` if it does not close.
    pub fn read_until_close(&mut self) -> Option<Vec<u8>> {
        let mut rest = Vec::new();
        match self.reader.read_to_end(&mut rest) {
            Ok(_) => Some(rest),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => Some(rest),
            Err(_) => None,
        }
    }

    pub fn get(&mut self, path: &str) -> Option<Message> {
        self.write(format!("GET {path} HTTP/1.1\r\nHost: api.internal\r\n\r\n").as_bytes());
        self.read_answer()
    }

    /// Sends a whole request of a class.
    pub fn send(&mut self, class: &str, timeout_ms: u64) {
        self.send_and_return_id(class, timeout_ms);
    }

    /// The same; its id.
    pub fn send_and_return_id(&mut self, class: &str, timeout_ms: u64) -> String {
        let (id, text) = request_with_id(class, timeout_ms);
        let is_new = self.answered.is_none() && self.asked.is_empty() && !self.is_raw;
        self.asked.push_back(id.clone());
        if self.try_write(text.as_bytes()) {
            let by = self.reader.get_ref().peer_addr().ok();
            judge::record_accepted(&id, by, Duration::from_millis(timeout_ms), is_new);
        }
        id
    }

    pub fn exchange(&mut self, class: &str) -> Message {
        self.send(class, 6_000);
        self.read_answer().expect("a whole answer")
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        for id in &self.asked {
            let now = Instant::now();
            judge::record_end(
                id,
                WaitEnd {
                    outcome: WaitOutcome::ClientLeft,
                    reading_since: now,
                    first_byte_at: now,
                    ended_at: now,
                    bytes: 0,
                },
            );
        }
        let known = self.asked.is_empty() && !self.is_raw;
        if let Some(id) = self.answered.take().filter(|_| known && self.has_surplus()) {
            judge::record_surplus(&id);
        }
    }
}

static IDS: AtomicU64 = AtomicU64::new(1);

/// A request as the application sends it.
pub fn request(class: &str, timeout_ms: u64) -> String {
    request_with_id(class, timeout_ms).1
}

/// The same, and its id.
pub fn request_with_id(class: &str, timeout_ms: u64) -> (String, String) {
    let id = format!("{:016x}", IDS.fetch_add(1, Ordering::SeqCst));
    let (method, key, body) = match class {
        "fetch" => ("GET", "", ""),
        "log" => ("POST", "Idempotency-Key: 5c0f6e1a2b3d4c59\r\n", "entry"),
        _ => ("POST", "", "bill"),
    };
    let length = if method == "GET" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let text = format!(
        "{method} /{class}?k=7f3a9c21 HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {id}\r\n\
         X-Priority-Class: {class}\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: {timeout_ms}\r\n{key}{length}\r\n{body}"
    );
    (id, text)
}

// --- The console ------------------------------------------------------------------------------

/// Below the ports that the system gives to connections by itself: nobody else takes one in the meantime.
const OWN_PORTS: std::ops::Range<u16> = 12_000..32_000;
static PORTS: AtomicUsize = AtomicUsize::new(0);

/// A port that was free just now.
pub fn free_address() -> SocketAddr {
    let count = usize::from(OWN_PORTS.end - OWN_PORTS.start);
    // Test processes that run side by side begin far from each other.
    let first = std::process::id() as usize * 101;
    loop {
        let turn = PORTS.fetch_add(1, Ordering::SeqCst);
        assert!(turn < count, "no port is free");
        let port = OWN_PORTS.start + ((first + turn) % count) as u16;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().unwrap();
        }
    }
}

/// A configuration with a console.
pub fn config_with_console(config: &str, console: &str) -> String {
    config.replacen('{', &format!(r#"{{"console":"{console}","#), 1)
}

/// A sidecar with a console, its discovery, and where the console is.
pub fn start_with_console(upstreams: &[&Upstream]) -> (Sidecar, Discovery, SocketAddr) {
    let known = ready_server_list(upstreams);
    let discovery = Discovery::new(&known);
    let console = free_address();
    let text = config_json("127.0.0.1:0", discovery.address, &known, 1024, SETTINGS);
    let sidecar = Sidecar::start(&config_with_console(&text, &console.to_string()));
    sidecar.wait_until_up();
    (sidecar, discovery, console)
}

/// One call: status and body.
pub fn call_console(console: SocketAddr, method: &str, path: &str) -> (u16, String) {
    let mut client = Client::connect(console);
    client.write(format!("{method} {path} HTTP/1.1\r\nHost: console\r\n\r\n").as_bytes());
    let answer = client.read_answer().expect("an answer");
    assert_eq!(answer.header("connection"), Some("close"), "one call to a connection");
    assert_eq!(client.read_until_close().expect("a close"), b"");
    (answer.status(), String::from_utf8(answer.body).unwrap())
}

pub fn telemetry(console: SocketAddr) -> serde_json::Value {
    let (status, text) = call_console(console, "GET", "/api/telemetry");
    assert_eq!(status, 200);
    serde_json::from_str(&text).unwrap()
}

// --- An upstream that nobody gets through to ---------------------------------------------------

/// An upstream whose accept queue is full: connections to it come up only once the test lets them.
pub struct FullBacklogUpstream {
    pub address: SocketAddr,
    listener: TcpListener,
    queue: Vec<TcpStream>,
}

impl FullBacklogUpstream {
    pub fn new() -> FullBacklogUpstream {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let listener = runtime.block_on(async {
            let socket = tokio::net::TcpSocket::new_v4().unwrap();
            socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
            socket.listen(1).unwrap().into_std().unwrap()
        });
        listener.set_nonblocking(false).unwrap();
        let address = listener.local_addr().unwrap();
        let queue = [0, 1].map(|_| TcpStream::connect(address).unwrap()).into();
        FullBacklogUpstream { address, listener, queue }
    }

    /// Connections come up from now on, and requests are answered. The first lines of those, probes apart.
    pub fn accept_connections(self) -> Arc<Mutex<Vec<String>>> {
        let written = Arc::new(Mutex::new(Vec::new()));
        let seen = written.clone();
        let listener = self.listener;
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let seen = seen.clone();
                std::thread::spawn(move || {
                    let mut writer = stream.try_clone().unwrap();
                    let mut reader = BufReader::new(stream);
                    while let Some(message) = read_message(&mut reader) {
                        if !message.start_line.starts_with("GET /metrics/load ") {
                            seen.lock().unwrap().push(message.start_line);
                        }
                        let _ = writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nslow");
                    }
                });
            }
        });
        drop(self.queue);
        written
    }
}

/// A sidecar before an upstream that nobody gets through to, under so many names: requests wait for a connection.
pub fn start_with_full_backlog(names: usize) -> (Sidecar, Discovery, SocketAddr, FullBacklogUpstream) {
    let slow = FullBacklogUpstream::new();
    let entries: Vec<String> =
        (0..names).map(|name| server_entry(&format!("slow-{name}"), slow.address, "ready")).collect();
    let known = server_list(5, true, &entries);
    let discovery = Discovery::new(&known);
    let settings = SETTINGS
        .replace(r#""connect_timeout":2000.0"#, r#""connect_timeout":120000.0"#)
        .replace(r#""aim":3000.0"#, r#""aim":120000.0"#)
        .replace(r#""probes":true"#, r#""probes":false"#);
    let console = free_address();
    let text = config_json("127.0.0.1:0", discovery.address, &known, 1024, &settings);
    let sidecar = Sidecar::start(&config_with_console(&text, &console.to_string()));
    sidecar.wait_until_up();
    (sidecar, discovery, console, slow)
}

// --- Clients that read slowly -------------------------------------------------------------------

/// A connection whose kernel holds about so many bytes that nobody has read yet: the rest waits at the sender.
pub fn connect_with_receive_buffer(address: SocketAddr, bytes: usize) -> TcpStream {
    use rustix::net::{AddressFamily, SocketType, connect, socket, sockopt};
    let socket = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    // Only before the handshake does it bound the window that is offered.
    sockopt::set_socket_recv_buffer_size(&socket, bytes).unwrap();
    connect(&socket, &address).unwrap();
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream
}

impl Client {
    /// A client whose kernel holds about so many bytes that it has not read yet.
    pub fn with_receive_buffer(address: SocketAddr, bytes: usize) -> Client {
        let stream = connect_with_receive_buffer(address, bytes);
        // Reads no further ahead than that, either.
        let reader = BufReader::with_capacity(bytes, stream);
        Client { reader, asked: VecDeque::new(), answered: None, is_raw: false }
    }
}

// --- A crowd of newcomers ---------------------------------------------------------------------

/// Connections that a crowd keeps at once, beyond what a sidecar with few descriptors has room for.
const CROWD_KEEPS: usize = 60;

/// Connects again and again until told to stop, with this pause between, asks once each time and keeps the connection: places
/// are short all the time, and some of those who have one are idle. How often it asked.
pub fn connect_repeatedly(address: SocketAddr, pause: Duration, stop: &AtomicBool) -> usize {
    let mut kept = VecDeque::new();
    let mut asked = 0;
    while !stop.load(Ordering::SeqCst) {
        let mut client = Client::connect(address);
        client.send("fetch", 6_000);
        let _ = client.read_answer();
        asked += 1;
        kept.push_back(client);
        if kept.len() > CROWD_KEEPS {
            kept.pop_front();
        }
        std::thread::sleep(pause);
    }
    asked
}
