//! Small stand-ins for clients, upstreams, discovery and the network, and what every case needs: a sidecar
//! started by the deploy file's command, a temporary folder, a record of what was sent, answered and run.
//! Standard library only; every address is a loopback address.

use std::fmt::Write as _;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::{JoinHandle, sleep};
use std::time::{Duration, Instant};

pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

// --- Time, chance and the record --------------------------------------------------------------------

/// Milliseconds since the start of the case.
#[derive(Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    pub fn start() -> Clock {
        Clock(Instant::now())
    }
    pub fn now(&self) -> f64 {
        self.0.elapsed().as_secs_f64() * 1e3
    }
}

/// A pseudo-random generator (xorshift64*).
pub struct Chance(u64);

impl Chance {
    pub fn new(seed: u64) -> Chance {
        Chance(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }
    pub fn bits(&mut self) -> u64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }
    pub fn unit(&mut self) -> f64 {
        (self.bits() >> 11) as f64 / (1u64 << 53) as f64
    }
    pub fn exp(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }
}

/// What was sent, answered and run: one line each, written to `record.txt` at the end.
pub struct Record {
    pub clock: Clock,
    lines: Mutex<Vec<(f64, String)>>,
}

impl Record {
    pub fn new() -> Arc<Record> {
        Arc::new(Record { clock: Clock::start(), lines: Mutex::new(Vec::new()) })
    }
    pub fn line(&self, text: impl Into<String>) {
        let at = self.clock.now();
        lock(&self.lines).push((at, text.into()));
    }
    pub fn write(&self, path: &Path) {
        let mut lines = lock(&self.lines).clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut text = String::from("ms since the start | what\n");
        for (at, line) in lines {
            let _ = writeln!(text, "{at:10.3} | {line}");
        }
        if let Err(error) = std::fs::write(path, text) {
            eprintln!("cannot write the record: {error}");
        }
    }
}

/// A flag that ends all threads of the stand-ins.
#[derive(Clone, Default)]
pub struct Stop(Arc<AtomicBool>);

impl Stop {
    pub fn set(&self) {
        self.0.store(true, Ordering::SeqCst);
    }
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    listener.local_addr().expect("its address")
}

// --- HTTP/1.1, as far as the stand-ins need it ---------------------------------------------------------

#[derive(Debug, Default, Clone)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = Vec::new();
        if reader.read_until(b'\n', &mut line)? == 0 {
            return match head.first.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        if line.last() != Some(&b'\n') {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = String::from_utf8_lossy(&line).trim_end().to_owned();
        if line.is_empty() {
            if head.first.is_empty() {
                continue;
            }
            return Ok(Some(head));
        }
        if head.first.is_empty() {
            head.first = line;
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that belongs to a head. An answer with neither length nor chunks goes on to the end.
pub fn read_body(reader: &mut impl BufRead, head: &Head, is_answer: bool) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.get("transfer-encoding").is_some_and(|text| text.to_ascii_lowercase().contains("chunked")) {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let digits = line.trim().split(';').next().unwrap_or("").to_owned();
            let size = usize::from_str_radix(&digits, 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            body.extend(chunk);
            let mut end = String::new();
            reader.read_line(&mut end)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
    match head.get("content-length").and_then(|text| text.parse::<usize>().ok()) {
        Some(length) => {
            body.resize(length, 0);
            reader.read_exact(&mut body)?;
        }
        None if is_answer => drop(reader.read_to_end(&mut body)?),
        None => {}
    }
    Ok(body)
}

// --- Discovery: the agent on the sidecar's machine -----------------------------------------------------

/// The version of the list that every case begins with.
pub const FIRST_VERSION: u64 = 41;

#[derive(Clone, Debug)]
pub struct Host {
    pub name: String,
    pub dial: SocketAddr,
    pub zone: &'static str,
    pub kind: &'static str,
    pub block: u64,
    pub health: &'static str,
    pub born_ms: u64,
}

impl Host {
    pub fn json(&self) -> String {
        format!(
            r#"{{"host":"{}","dial":"{}","site":"{}","class":"{}","block":{},"health":"{}","share":1.0,"born_ms":{}}}"#,
            self.name, self.dial, self.zone, self.kind, self.block, self.health, self.born_ms
        )
    }
}

pub fn list_json(seq: u64, whole: bool, hosts: &[Host]) -> String {
    let entries: Vec<String> = hosts.iter().map(Host::json).collect();
    format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, entries.join(","))
}

struct Versions {
    seq: u64,
    hosts: Vec<Host>,
    /// Each change with its version.
    changes: Vec<(u64, Host)>,
    /// A text in the next line of every open watch that arrives as another one.
    spoilt: Option<(String, String)>,
}

/// Discovery that pushes: an agent that answers at once.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    versions: Arc<(Mutex<Versions>, Condvar)>,
    stop: Stop,
    record: Arc<Record>,
}

impl Discovery {
    pub fn start(hosts: Vec<Host>, world: &World) -> Discovery {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let versions = Versions { seq: FIRST_VERSION, hosts, changes: Vec::new(), spoilt: None };
        let discovery = Discovery {
            address: listener.local_addr().expect("its address"),
            versions: Arc::new((Mutex::new(versions), Condvar::new())),
            stop: world.stop.clone(),
            record: world.record.clone(),
        };
        let shared = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = shared.clone();
                std::thread::spawn(move || {
                    if let Err(error) = discovery.answer(stream) {
                        discovery.record.line(format!("discovery: a call has ended: {error}"));
                    }
                });
            }
        });
        discovery
    }

    /// Changes one host's entry. With `spoilt`, that text arrives as another one wherever a watch is open.
    /// Returns when.
    pub fn change(&self, host: Host, spoilt: Option<(&str, &str)>) -> f64 {
        let (versions, changed) = &*self.versions;
        let mut versions = lock(versions);
        versions.seq += 1;
        let seq = versions.seq;
        versions.hosts.retain(|listed| listed.name != host.name);
        if host.health != "gone" {
            versions.hosts.push(host.clone());
        }
        versions.spoilt = spoilt.map(|(from, to)| (from.to_owned(), to.to_owned()));
        self.record.line(format!("discovery: version {seq}: {} is {}", host.name, host.health));
        versions.changes.push((seq, host));
        changed.notify_all();
        self.record.clock.now()
    }

    fn answer(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let Some(head) = read_head(&mut reader)? else { return Ok(()) };
        let from =
            head.first.split("from=").nth(1).and_then(|rest| rest.split([' ', '&']).next()?.parse().ok());
        let from: u64 = from.unwrap_or(0);
        self.record.line(format!("discovery: call {}", head.first));
        let (versions, changed) = &*self.versions;
        let mut sent = {
            let versions = lock(versions);
            let known = from >= FIRST_VERSION && from <= versions.seq;
            let hosts = if known { changes_after(&versions, from) } else { versions.hosts.clone() };
            write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
            write_chunk(&mut stream, &(list_json(versions.seq, !known, &hosts) + "\n"))?;
            versions.seq
        };
        self.record.line(format!("discovery: answered {} up to version {sent}", head.first));
        let mut told_at = Instant::now();
        while !self.stop.is_set() {
            let guard = lock(versions);
            let (guard, _) = changed.wait_timeout_while(guard, ms(100), |v| v.seq == sent).expect("no panic");
            let text = match guard.seq == sent {
                true if told_at.elapsed() < ms(1_900) => continue,
                true => "\n".to_owned(),
                false => {
                    let text = list_json(guard.seq, false, &changes_after(&guard, sent)) + "\n";
                    match &guard.spoilt {
                        Some((from, to)) => text.replace(from, to),
                        None => text,
                    }
                }
            };
            (sent, told_at) = (guard.seq, Instant::now());
            drop(guard);
            write_chunk(&mut stream, &text)?;
            if text.len() > 1 {
                self.record.line(format!("discovery: wrote {}", text.trim_end()));
            }
        }
        Ok(())
    }
}

fn changes_after(versions: &Versions, seq: u64) -> Vec<Host> {
    versions.changes.iter().filter(|(version, _)| *version > seq).map(|(_, host)| host.clone()).collect()
}

fn write_chunk(stream: &mut TcpStream, text: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

// --- Upstreams ---------------------------------------------------------------------------------------

/// A request as an upstream got it.
#[derive(Clone, Debug)]
pub struct Arrived {
    pub upstream: usize,
    pub id: String,
    pub class: String,
    /// When its head had come, in milliseconds of the record's clock.
    pub head_at: f64,
    pub timeout_ms: u64,
    pub body_bytes: usize,
}

/// What an upstream does with one request.
pub enum Reply {
    /// Work for this long, then answer 200 with a body that names the request and the upstream.
    Serve { after: Duration },
    /// Work for this long, then reset the connection.
    Reset { after: Duration },
    /// Serve, and do more with the connection: the closure gets the stream and the answer's bytes.
    Custom { after: Duration, act: Box<dyn FnOnce(&mut TcpStream, &[u8]) -> io::Result<()> + Send> },
}

pub type Behaviour = Arc<dyn Fn(&Arrived) -> Reply + Send + Sync>;

pub struct Upstream {
    pub number: usize,
    pub address: SocketAddr,
    off: Stop,
    /// Requests that were in work when it was switched off, by class.
    pub cut_off: Arc<Counts>,
}

impl Upstream {
    /// Ends it as a process ends: connections are reset, also under requests, and new ones are refused.
    pub fn switch_off(&self) {
        self.off.set();
    }

    /// Its entry in the list. Eight upstreams make two pods of four.
    pub fn host(&self, health: &'static str) -> Host {
        Host {
            name: format!("s-{:04}", self.number),
            dial: self.address,
            zone: "howard-ave",
            kind: "c2-full",
            block: self.number as u64 / 4,
            health,
            born_ms: 0,
        }
    }
}

pub struct World {
    pub record: Arc<Record>,
    pub stop: Stop,
    pub arrived: Arc<Mutex<Vec<Arrived>>>,
}

impl World {
    #[allow(clippy::new_without_default)]
    pub fn new() -> World {
        World { record: Record::new(), stop: Stop::default(), arrived: Arc::default() }
    }

    /// Starts so many upstreams in two zones, and gives their entries in the list.
    pub fn upstreams(&self, count: usize, behaviour: &Behaviour) -> (Vec<Upstream>, Vec<Host>) {
        let upstreams: Vec<Upstream> =
            (0..count).map(|number| self.upstream(number, behaviour.clone())).collect();
        let hosts = upstreams.iter().map(|upstream| upstream.host("ready")).collect();
        (upstreams, hosts)
    }

    pub fn upstream(&self, number: usize, behaviour: Behaviour) -> Upstream {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let address = listener.local_addr().expect("its address");
        listener.set_nonblocking(true).expect("a listener");
        let (off, cut_off) = (Stop::default(), Arc::new(Counts::default()));
        let shared = UpstreamShared {
            record: self.record.clone(),
            arrived: self.arrived.clone(),
            behaviour,
            in_flight: Arc::default(),
            off: off.clone(),
            cut_off: cut_off.clone(),
        };
        std::thread::spawn(move || {
            while !shared.off.is_set() {
                let Ok((stream, _)) = listener.accept() else {
                    sleep(Duration::from_micros(500));
                    continue;
                };
                let shared = shared.clone();
                // A connection ends with an error or without one.
                std::thread::spawn(move || drop(serve_requests(stream, number, &shared)));
            }
        });
        Upstream { number, address, off, cut_off }
    }
}

/// What the connections of one upstream share.
#[derive(Clone)]
struct UpstreamShared {
    record: Arc<Record>,
    arrived: Arc<Mutex<Vec<Arrived>>>,
    behaviour: Behaviour,
    in_flight: Arc<AtomicU64>,
    off: Stop,
    cut_off: Arc<Counts>,
}

/// The body made for one request.
pub fn body_for(id: &str, upstream: usize) -> String {
    format!("answer for {id} from u{upstream}\n")
}

pub fn ok_answer(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n\r\n{body}", body.len())
        .into_bytes()
}

fn serve_requests(mut stream: TcpStream, number: usize, shared: &UpstreamShared) -> io::Result<()> {
    let UpstreamShared { record, arrived, behaviour, in_flight, off, cut_off } = shared;
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(head) = read_head(&mut reader)? {
        let head_at = record.clock.now();
        if off.is_set() {
            reset(&stream);
            return Ok(());
        }
        let target = head.first.split(' ').nth(1).unwrap_or("").to_owned();
        if target == "/alive" || target == "/metrics/load" {
            let held = in_flight.load(Ordering::SeqCst);
            let text = format!("TEXT inflight={held}, eps=0, util={:.2}", (held as f64 / 2.0).min(1.0));
            stream.write_all(&ok_answer(&text))?;
            continue;
        }
        let class = target.trim_start_matches('/').split(['?', '/']).next().unwrap_or("").to_owned();
        let body = match read_body(&mut reader, &head, false) {
            Ok(body) => body,
            Err(error) => {
                record.line(format!("u{number}: {} broke off before its last byte: {error}", head.first));
                return Err(error);
            }
        };
        let request = Arrived {
            upstream: number,
            id: head.get("x-request-id").unwrap_or("").to_owned(),
            class,
            head_at,
            timeout_ms: head.get("x-timeout-ms").and_then(|text| text.parse().ok()).unwrap_or(0),
            body_bytes: body.len(),
        };
        record.line(format!(
            "u{number}: got {} {} ({} bytes of body; told {} ms)",
            request.class, request.id, request.body_bytes, request.timeout_ms
        ));
        lock(arrived).push(request.clone());
        in_flight.fetch_add(1, Ordering::SeqCst);
        let reply = behaviour(&request);
        let answer = ok_answer(&body_for(&request.id, number));
        let result = match reply {
            Reply::Serve { after } => {
                sleep(after);
                in_flight.fetch_sub(1, Ordering::SeqCst);
                if off.is_set() {
                    cut_off.add(&request.class);
                    record.line(format!("u{number}: switched off under {} {}", request.class, request.id));
                    reset(&stream);
                    return Ok(());
                }
                record.line(format!("u{number}: ran and answered {}", request.id));
                stream.write_all(&answer)
            }
            Reply::Reset { after } => {
                sleep(after);
                in_flight.fetch_sub(1, Ordering::SeqCst);
                record.line(format!("u{number}: {} connection reset", request.id));
                reset(&stream);
                return Ok(());
            }
            Reply::Custom { after, act } => {
                sleep(after);
                in_flight.fetch_sub(1, Ordering::SeqCst);
                act(&mut stream, &answer)
            }
        };
        result?;
    }
    Ok(())
}

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const core::ffi::c_void, length: u32) -> i32;
}

/// Makes the connection end with a reset once its last handle is dropped.
pub fn reset(stream: &TcpStream) {
    let linger = Linger { on: 1, seconds: 0 };
    // SAFETY: SOL_SOCKET (1) and SO_LINGER (13) of Linux, with a value of the right layout.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, (&raw const linger).cast(), 8) };
}

// --- The sidecar --------------------------------------------------------------------------------------

pub struct Case {
    pub folder: PathBuf,
    pub root: PathBuf,
    pub trouble: bool,
    pub temporary: PathBuf,
}

/// A small deployment: what one sidecar is told.
pub struct Deployment {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub known: String,
}

impl Deployment {
    pub fn new(listen: SocketAddr, discovery: SocketAddr, hosts: &[Host]) -> Deployment {
        Deployment { listen, discovery, known: list_json(FIRST_VERSION, true, hosts) }
    }

    pub fn json(&self) -> String {
        format!(
            r#"{{"name":"n1","listen":"{}","discovery":"{}","seed":"{:016x}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{},
"settings":{}}}"#,
            self.listen,
            self.discovery,
            Chance::new(u64::from(std::process::id())).bits(),
            self.known,
            gulf_depos(),
        )
    }
}

struct ClassForm(&'static str, u32, u32, u32, &'static str, &'static str, u32);

fn class_json(form: &ClassForm) -> String {
    let ClassForm(name, aim, limit, worth, effect, scope, window) = form;
    format!(
        r#"{{"name":"{name}","aim":{aim},"hard_limit":{limit},"importance":{worth},"late_worth":0,"effect":"{effect}","dedup_scope":"{scope}","window":{window},"stream":false}}"#
    )
}

/// The settings of the site gulf-depos, in its ranges; lists are pushed.
pub fn gulf_depos() -> String {
    let classes = [
        ClassForm("page-fetch", 250, 1_000, 3, "repeatable", "all", 5_000),
        ClassForm("draft-save", 400, 1_000, 3, "repeatable", "all", 5_000),
        ClassForm("errata-log", 200, 400, 3, "by_key", "cell", 2_000),
        ClassForm("copy-bill", 400, 1_200, 2, "once", "all", 5_000),
    ];
    let classes: Vec<String> = classes.iter().map(class_json).collect();
    format!(
        r#"{{"classes":[{}],"tenants":[],"azs":["howard-ave","pass-road"],"zone":0,"kinds":["c2-full","c2-slow"],
"peers_total":3,"rank":0,"membership_mode":"automatic","weights":"rough","period":5.0,"over_share_worth":0.1,
"telemetry":{{"how":"pull","columns":["inflight","eps","util"]}},
"allowed":{{"cancel":true,"connect_timeout":100,"keepalive":60000,"max_attempts":4,"max_retry_after":600,"may_duplicate":false,"multiplex":1,"peers":false,"probes":true,"retry_after":true}},
"fees":{{"cross_zone":0.03,"handshake":0.05,"probe":0.002,"waste":0.05,"late_fail":0.08}},
"invariants":{{"answer_slack":20,"cold_share":0.16,"drain_grace":2000,"fall":1500,"fall_multiple":2.5,"must_ask_in":10000,"warm_up":21000}}}}"#,
        classes.join(",")
    )
}

/// A sidecar that has been started. All that the case has started ends with it.
pub struct Sidecar(());

/// Processes that the case has started and that it has not waited for.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all processes that the case has started.
pub fn end_children() {
    for mut child in lock(&CHILDREN).drain(..) {
        let _ = child.kill();
        let _ = child.wait();
    }
}

impl Case {
    pub fn new(folder: &str) -> Case {
        let folder = PathBuf::from(folder);
        let root = std::env::current_dir().expect("the current folder");
        let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
        let name = format!(
            "review-2-{}-{}",
            std::process::id(),
            folder.file_name().map_or("x".into(), |n| n.to_string_lossy().into_owned())
        );
        let temporary = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&temporary).expect("a temporary folder");
        Case { folder, root, trouble, temporary }
    }

    /// Starts a sidecar by the command `run` of the deploy file.
    pub fn sidecar(&self, name: &str, deployment: &Deployment) -> Result<Sidecar, String> {
        self.start(name, deployment).map_err(|error| format!("cannot start a sidecar: {error}"))
    }

    fn start(&self, name: &str, deployment: &Deployment) -> io::Result<Sidecar> {
        let deploy = std::fs::read_to_string(self.root.join("deploy/balancer.toml"))?;
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \"")?.split('"').next())
            .ok_or_else(|| io::Error::other("the deploy file has no run"))?
            .to_owned();
        let config = self.temporary.join(format!("{name}.json"));
        std::fs::write(&config, deployment.json())?;
        let private = self.temporary.join("tmp");
        std::fs::create_dir_all(&private)?;
        let log = std::fs::File::create(self.temporary.join(format!("{name}.log")))?;
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &run])
            .current_dir(&self.root)
            .env("ROUTER_NAME", "n1")
            .env("ROUTER_LISTEN", deployment.listen.to_string())
            .env("ROUTER_DISCOVERY", deployment.discovery.to_string())
            .env("ROUTER_CONFIG", &config)
            .env("TMPDIR", &private)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .process_group(0);
        lock(&CHILDREN).push(command.spawn()?);
        Ok(Sidecar(()))
    }

    /// What the processes have written, by their names.
    pub fn logs(&self) -> Vec<(String, String)> {
        let files = std::fs::read_dir(&self.temporary).into_iter().flatten().flatten();
        let logs = files.filter_map(|file| {
            let name = file.file_name().to_string_lossy().strip_suffix(".log")?.to_owned();
            Some((name, std::fs::read_to_string(file.path()).ok()?))
        });
        logs.collect()
    }
}

impl Drop for Case {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.temporary);
    }
}

impl Sidecar {
    /// Waits until `/up` answers 200.
    pub fn wait_until_up(&self, listen: SocketAddr) -> Result<(), String> {
        let until = Instant::now() + ms(10_000);
        while Instant::now() < until {
            if get_up(listen) == Some(200) {
                return Ok(());
            }
            sleep(ms(20));
        }
        Err("the sidecar is not up after 10 s".to_owned())
    }
}

fn get_up(listen: SocketAddr) -> Option<u16> {
    let mut stream = TcpStream::connect(listen).ok()?;
    stream.set_read_timeout(Some(ms(1_000))).ok()?;
    stream.write_all(b"GET /up HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n").ok()?;
    Some(read_head(&mut BufReader::new(stream)).ok()??.status())
}

// --- Clients -----------------------------------------------------------------------------------------

static LAST_ID: AtomicU64 = AtomicU64::new(1);

pub fn new_id() -> String {
    format!("{:016x}", LAST_ID.fetch_add(1, Ordering::SeqCst).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// The head of a request of a class, in the protocol's form.
pub fn request_text(class: &str, id: &str, timeout_ms: u64, body_bytes: usize) -> String {
    let method = if matches!(class, "page-fetch" | "draft-save") { "GET" } else { "POST" };
    let mut text = format!(
        "{method} /{class}?k=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\nX-Timeout-Ms: {timeout_ms}\r\n"
    );
    if class == "errata-log" {
        let _ = write!(text, "Idempotency-Key: key-{id}\r\n");
    }
    if method == "POST" {
        let _ = write!(text, "Content-Length: {body_bytes}\r\n");
    }
    text + "\r\n"
}

/// A client's connection to the sidecar.
pub struct Connection {
    pub stream: TcpStream,
    pub reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(listen: SocketAddr) -> io::Result<Connection> {
        let stream = TcpStream::connect(listen)?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Connection { stream, reader })
    }

    pub fn send(&mut self, text: &[u8]) -> Result<(), String> {
        self.stream.write_all(text).map_err(|error| format!("a client cannot send: {error}"))
    }

    /// Reads the next answer.
    pub fn answer(&mut self, wait: Duration) -> io::Result<(Head, Vec<u8>)> {
        self.stream.set_read_timeout(Some(wait))?;
        let head = read_head(&mut self.reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let body = read_body(&mut self.reader, &head, true)?;
        Ok((head, body))
    }
}

/// A usual client: one request at a time on a kept connection, until the case stops. Counts what was served and
/// what was not.
pub fn usual_client(
    number: usize,
    listen: SocketAddr,
    counts: &[Arc<AtomicU64>; 2],
    world: &World,
    class: &'static str,
) -> JoinHandle<()> {
    let (counts, stop, record) = (counts.clone(), world.stop.clone(), world.record.clone());
    std::thread::spawn(move || {
        let mut chance = Chance::new(number as u64 + 1);
        let mut kept: Option<Connection> = None;
        while !stop.is_set() {
            sleep(Duration::from_secs_f64(chance.exp(40.0) / 1e3));
            let id = new_id();
            let Some(mut connection) = kept.take().or_else(|| Connection::open(listen).ok()) else {
                continue;
            };
            if connection.send(request_text(class, &id, 800, 0).as_bytes()).is_err() {
                continue;
            }
            let answer = connection.answer(ms(3_000));
            let status = answer.as_ref().map_or(0, |(head, _)| head.status());
            record.line(format!("client {number}: {class} {id}: {status}"));
            counts[usize::from(status != 200)].fetch_add(1, Ordering::SeqCst);
            let closes =
                |head: &Head| head.get("connection").is_some_and(|text| text.eq_ignore_ascii_case("close"));
            kept = Some(connection).filter(|_| answer.is_ok_and(|(head, _)| !closes(&head)));
        }
    })
}

/// Counts by name, for the last line of a record.
#[derive(Default)]
pub struct Counts(Mutex<std::collections::BTreeMap<String, u64>>);

impl Counts {
    pub fn add(&self, name: &str) {
        *lock(&self.0).entry(name.to_owned()).or_default() += 1;
    }
    pub fn get(&self, name: &str) -> u64 {
        lock(&self.0).get(name).copied().unwrap_or(0)
    }
    pub fn text(&self) -> String {
        let counts = lock(&self.0);
        let named: Vec<_> = counts.iter().map(|(name, count)| format!("{name} {count}")).collect();
        named.join(", ")
    }
}
