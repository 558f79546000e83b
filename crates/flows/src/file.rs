//! Reads the text of `flows.toml`: listeners, each with its servers, limits and times. All faults are found, each with
//! line and key; nothing of a faulty file is used.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::ops::Range;

use serde::Deserialize;
use toml::Spanned;

use crate::rules::{ID_BYTES, IdAt, Rules, Silence};

/// More listeners than this are a slip of the pen: each has a thread.
pub const MOST_LISTENERS: usize = 64;
/// Flows of one listener at most: places are numbered in 32 bits, and memory is taken for each.
const MOST_FLOWS: f64 = 4_000_000.0;
/// No time is longer in earnest: nine days, the span of the timers.
const MOST_MS: f64 = 777_600_000.0;
/// A first datagram of ours begins with at most so many bytes.
const HELLO_BYTES: usize = 64;
/// Descriptors of a listener beside its flows: its sockets, its queue, its watch and what it runs on.
pub const OWN_DESCRIPTORS: usize = 8;

/// Where flows share sockets, one a server: so many are counted for servers that discovery is yet to tell.
const SHARED_SERVERS: usize = 256;
/// What a flow takes: its place in the table, its keys and chains, the place of its socket, and what allocation adds.
/// 310 and 420 bytes were measured for the table and for a listener.
const FLOW_BYTES: usize = 512;
/// What a listener takes beside its flows: its buffers.
const LISTENER_BYTES: usize = 2_560 << 10;

/// Something wrong in the file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// Which line, from 1; 0 where it is about the whole file.
    pub line: usize,
    /// Which key, from the top of the file down.
    pub key: String,
    /// What is wrong, and what to do.
    pub text: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fault { line, key, text } = self;
        if key.is_empty() { write!(f, "{line}: {text}") } else { write!(f, "{line}: {key}: {text}") }
    }
}

/// A sound file.
#[derive(Debug, Clone, PartialEq)]
pub struct File {
    /// The listeners, in the order of the file.
    pub listeners: Vec<Listener>,
}

/// One listener.
#[derive(Debug, Clone, PartialEq)]
pub struct Listener {
    /// Its name.
    pub name: String,
    /// Where clients send to. Port 0 has the system choose one.
    pub listen: SocketAddr,
    /// Where its servers come from.
    pub servers: From,
    /// How flows reach their servers.
    pub sockets: Sockets,
    /// The port of every server, if it is not the one that discovery tells.
    pub port: Option<u16>,
    /// Names of the zones, by number, as discovery has them.
    pub zones: Vec<String>,
    /// For random numbers; drawn at each start if it is not set.
    pub seed: Option<u64>,
    /// What it asks of the kernel for each direction of its socket, in bytes.
    pub buffer: usize,
    /// The table is written at most this often, in milliseconds.
    pub keep_every: f64,
    /// One that is older is not believed.
    pub keep_for: f64,
    /// Limits and times.
    pub rules: Rules,
}

/// How flows reach their servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sockets {
    /// Each by a socket of its own: servers tell them apart by port.
    Own,
    /// All of a server by one: every datagram, both ways, begins with `hello` and the flow's number (8 bytes).
    Shared,
}

/// Where servers come from.
#[derive(Debug, Clone, PartialEq)]
pub enum From {
    /// Discovery at this address.
    Discovery(SocketAddr),
    /// The file.
    File(Vec<Fixed>),
}

/// A server that the file names.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fixed {
    /// Its name.
    pub name: String,
    /// Where it takes datagrams.
    pub dial: SocketAddr,
    /// Its size compared with others.
    #[serde(default = "one")]
    pub weight: f64,
    /// The number of its zone.
    #[serde(default)]
    pub zone: u64,
    /// Whether it drains.
    #[serde(default)]
    pub draining: bool,
}

fn one() -> f64 {
    1.0
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Top {
    descriptors: Option<Spanned<usize>>,
    memory_mb: Option<Spanned<usize>>,
    #[serde(default)]
    listener: Vec<Spanned<Section>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct IdSection {
    offset: Spanned<usize>,
    length: Spanned<usize>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Section {
    name: Spanned<String>,
    listen: SocketAddr,
    discovery: Option<Spanned<SocketAddr>>,
    servers: Option<Vec<Spanned<Fixed>>>,
    sockets: Option<Spanned<String>>,
    port: Option<u16>,
    #[serde(default)]
    zones: Vec<String>,
    #[serde(default)]
    zone: u64,
    seed: Option<u64>,
    buffer_kib: Option<Spanned<f64>>,
    keep_every_ms: Option<Spanned<f64>>,
    keep_for_ms: Option<Spanned<f64>>,
    flows: Option<Spanned<f64>>,
    tentative: Option<Spanned<f64>>,
    sources: Option<Spanned<f64>>,
    prefix_v4: Option<Spanned<f64>>,
    prefix_v6: Option<Spanned<f64>>,
    new_per_s: Option<Spanned<f64>>,
    new_burst: Option<Spanned<f64>>,
    all_new_per_s: Option<Spanned<f64>>,
    tentative_per_s: Option<Spanned<f64>>,
    flow_per_s: Option<Spanned<f64>>,
    amplification: Option<Spanned<f64>>,
    idle_ms: Option<Spanned<f64>>,
    client_idle_ms: Option<Spanned<f64>>,
    unanswered_ms: Option<Spanned<f64>>,
    #[serde(default)]
    one_way: bool,
    id: Option<IdSection>,
    rebind_after_ms: Option<Spanned<f64>>,
    silence: Option<Spanned<String>>,
    silent_least_ms: Option<Spanned<f64>>,
    silent_most: Option<Spanned<f64>>,
    drain_grace_ms: Option<Spanned<f64>>,
    move_over_ms: Option<Spanned<f64>>,
    hello: Option<Spanned<String>>,
    flows_per_weight: Option<Spanned<f64>>,
    peers: Option<Spanned<f64>>,
    crossing_fee: Option<Spanned<f64>>,
    cold_share: Option<Spanned<f64>>,
    warm_up_ms: Option<Spanned<f64>>,
    fall_multiple: Option<Spanned<f64>>,
}

/// Collects faults.
struct Reader<'t> {
    text: &'t str,
    faults: Vec<Fault>,
}

impl Reader<'_> {
    fn fault(&mut self, span: &Range<usize>, key: &str, text: impl Into<String>) {
        let before = &self.text.as_bytes()[..span.start.min(self.text.len())];
        let line = 1 + before.iter().filter(|byte| **byte == b'\n').count();
        self.faults.push(Fault { line, key: key.to_owned(), text: text.into() });
    }

    /// A figure within bounds, or what stands in for it.
    fn figure(&mut self, value: &Option<Spanned<f64>>, key: &str, least: f64, most: f64, usual: f64) -> f64 {
        let Some(value) = value else { return usual };
        let figure = *value.get_ref();
        if (least..=most).contains(&figure) {
            return figure;
        }
        self.fault(&value.span(), key, format!("is {figure}; {least} to {most} is allowed"));
        usual
    }

    fn whole(&mut self, value: &Option<Spanned<f64>>, key: &str, least: f64, most: f64, usual: f64) -> f64 {
        let figure = self.figure(value, key, least, most, usual);
        if figure.fract() != 0.0 {
            let span = value.as_ref().map_or(0..0, Spanned::span);
            self.fault(&span, key, format!("is {figure}; a whole number is needed"));
        }
        figure.trunc()
    }
}

impl File {
    /// Reads a text.
    pub fn read(text: &str) -> Result<File, Vec<Fault>> {
        let mut reader = Reader { text, faults: Vec::new() };
        let top: Top = match toml::from_str(text) {
            Ok(top) => top,
            Err(error) => {
                reader.fault(&error.span().unwrap_or(0..0), "", error.message());
                return Err(reader.faults);
            }
        };
        let mut names = BTreeSet::new();
        let mut places = BTreeSet::new();
        let mut listeners = Vec::new();
        if top.listener.is_empty() || top.listener.len() > MOST_LISTENERS {
            let text = format!("{} are listed; 1 to {MOST_LISTENERS} are needed", top.listener.len());
            reader.fault(&(0..0), "listener", text);
        }
        for section in &top.listener {
            let (span, section) = (section.span(), section.get_ref());
            let name = section.name.get_ref();
            let plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
            if name.is_empty() || name.len() > 64 || !name.chars().all(plain) {
                let text = format!("{name:?}: 1 to 64 letters, digits, - and _ are needed");
                reader.fault(&section.name.span(), "listener.name", text);
            }
            if !names.insert(name.clone()) {
                reader.fault(&section.name.span(), "listener.name", format!("{name:?} stands twice"));
            }
            if section.listen.port() != 0 && !places.insert(section.listen) {
                let text = format!("{} is another listener's too", section.listen);
                reader.fault(&section.name.span(), "listener.listen", text);
            }
            listeners.push(section.read(&span, &mut reader));
        }
        if let Some(most) = top.descriptors.as_ref().filter(|_| reader.faults.is_empty()) {
            let needs: usize = listeners.iter().map(Listener::descriptors).sum();
            if needs > *most.get_ref() {
                let each: Vec<String> =
                    listeners.iter().map(|l| format!("{} {}", l.name, l.descriptors())).collect();
                let text = format!(
                    "{needs} are needed ({}) and {} allowed: lower `flows` or raise it",
                    each.join(", "),
                    most.get_ref()
                );
                reader.fault(&most.span(), "descriptors", text);
            }
        }
        if let Some(most) = top.memory_mb.as_ref().filter(|_| reader.faults.is_empty()) {
            let needs: usize = listeners.iter().map(Listener::memory).sum();
            if needs > most.get_ref().saturating_mul(1 << 20) {
                let text = format!("{} are needed: lower `flows` or raise it", needs.div_ceil(1 << 20));
                reader.fault(&most.span(), "memory_mb", text);
            }
        }
        reader.faults.sort();
        if reader.faults.is_empty() { Ok(File { listeners }) } else { Err(reader.faults) }
    }
}

impl Listener {
    /// The descriptors that it takes with all its flows.
    pub fn descriptors(&self) -> usize {
        let servers = match (&self.sockets, &self.servers) {
            (Sockets::Own, _) => self.rules.flows,
            (Sockets::Shared, From::File(servers)) => servers.len(),
            (Sockets::Shared, From::Discovery(_)) => SHARED_SERVERS,
        };
        servers + OWN_DESCRIPTORS
    }
}

impl Listener {
    /// The memory that it takes with all its flows, in bytes.
    pub fn memory(&self) -> usize {
        self.rules.flows * FLOW_BYTES + LISTENER_BYTES
    }
}

impl Section {
    fn read(&self, span: &Range<usize>, r: &mut Reader<'_>) -> Listener {
        let usual = Rules::default();
        let ms =
            |r: &mut Reader<'_>, value, key: &str, least, usual| r.figure(value, key, least, MOST_MS, usual);
        let flows = r.whole(&self.flows, "listener.flows", 2.0, MOST_FLOWS, usual.flows as f64);
        let quarter = (flows / 4.0).ceil();
        let tentative = r.whole(&self.tentative, "listener.tentative", 1.0, MOST_FLOWS, quarter);
        if tentative >= flows {
            let at = self.tentative.as_ref().map_or(span.clone(), Spanned::span);
            let text = format!("{tentative} of {flows} flows leave no place for one that lives: lower it");
            r.fault(&at, "listener.tentative", text);
        }
        let id = self.id.as_ref().and_then(|id| {
            let (offset, length) = (*id.offset.get_ref(), *id.length.get_ref());
            if !(1..=ID_BYTES).contains(&length) {
                let text = format!("is {length}; 1 to {ID_BYTES} is allowed");
                r.fault(&id.length.span(), "listener.id.length", text);
                return None;
            }
            if offset > 65_507 - length {
                r.fault(&id.offset.span(), "listener.id.offset", "no datagram reaches so far");
                return None;
            }
            Some(IdAt { offset, length })
        });
        let silence = match self.silence.as_ref().map(|word| (word.get_ref().as_str(), word.span())) {
            None | Some(("rhythm", _)) => Silence::Rhythm,
            Some(("off", _)) => Silence::Off,
            Some((word, at)) => {
                r.fault(&at, "listener.silence", format!("is {word:?}; \"rhythm\" and \"off\" are known"));
                Silence::Off
            }
        };
        if let Some(hello) = self
            .hello
            .as_ref()
            .filter(|hello| hello.get_ref().is_empty() || hello.get_ref().len() > HELLO_BYTES)
        {
            r.fault(&hello.span(), "listener.hello", format!("1 to {HELLO_BYTES} bytes are needed"));
        }
        let sockets = match self.sockets.as_ref().map(|word| (word.get_ref().as_str(), word.span())) {
            None | Some(("own", _)) => Sockets::Own,
            Some(("shared", at)) => {
                if self.hello.is_none() {
                    let text = "flows that share sockets are told apart by `hello`: set it";
                    r.fault(&at, "listener.sockets", text);
                }
                Sockets::Shared
            }
            Some((word, at)) => {
                r.fault(&at, "listener.sockets", format!("is {word:?}; \"own\" and \"shared\" are known"));
                Sockets::Own
            }
        };
        let servers = match (&self.discovery, &self.servers) {
            (Some(discovery), None) => From::Discovery(*discovery.get_ref()),
            (None, Some(servers)) => From::File(self.fixed(servers, r)),
            (Some(_), Some(_)) => {
                r.fault(span, "listener.servers", "`discovery` is set, too: leave one of them out");
                From::File(Vec::new())
            }
            (None, None) => {
                r.fault(span, "listener.servers", "no `servers` and no `discovery`: name one of them");
                From::File(Vec::new())
            }
        };
        let new_per_s = r.figure(&self.new_per_s, "listener.new_per_s", 0.001, 1e9, usual.new_per_s);
        Listener {
            name: self.name.get_ref().clone(),
            listen: self.listen,
            servers,
            sockets,
            port: self.port,
            zones: self.zones.clone(),
            seed: self.seed,
            buffer: (r.figure(&self.buffer_kib, "listener.buffer_kib", 4.0, 65_536.0, 2_048.0) * 1024.0)
                as usize,
            keep_every: ms(r, &self.keep_every_ms, "listener.keep_every_ms", 100.0, 1_000.0),
            keep_for: ms(r, &self.keep_for_ms, "listener.keep_for_ms", 100.0, 10_000.0),
            rules: Rules {
                flows: flows as usize,
                tentative: tentative as usize,
                sources: r.whole(&self.sources, "listener.sources", 1.0, MOST_FLOWS, usual.sources as f64)
                    as usize,
                prefix_v4: r.whole(
                    &self.prefix_v4,
                    "listener.prefix_v4",
                    8.0,
                    32.0,
                    f64::from(usual.prefix_v4),
                ) as u8,
                prefix_v6: r.whole(
                    &self.prefix_v6,
                    "listener.prefix_v6",
                    16.0,
                    128.0,
                    f64::from(usual.prefix_v6),
                ) as u8,
                new_per_s,
                new_burst: r.figure(
                    &self.new_burst,
                    "listener.new_burst",
                    1.0,
                    1e9,
                    (4.0 * new_per_s).max(1.0),
                ),
                all_new_per_s: r.figure(
                    &self.all_new_per_s,
                    "listener.all_new_per_s",
                    1.0,
                    1e9,
                    usual.all_new_per_s,
                ),
                tentative_per_s: r.figure(
                    &self.tentative_per_s,
                    "listener.tentative_per_s",
                    1.0,
                    1e9,
                    usual.tentative_per_s,
                ),
                flow_per_s: r.figure(&self.flow_per_s, "listener.flow_per_s", 2.0, 1e9, usual.flow_per_s),
                amplification: r.figure(
                    &self.amplification,
                    "listener.amplification",
                    1.0,
                    1e6,
                    usual.amplification,
                ),
                idle: ms(r, &self.idle_ms, "listener.idle_ms", 100.0, usual.idle),
                client_idle: ms(r, &self.client_idle_ms, "listener.client_idle_ms", 100.0, usual.client_idle),
                unanswered: ms(r, &self.unanswered_ms, "listener.unanswered_ms", 100.0, usual.unanswered),
                one_way: self.one_way,
                id,
                rebind_after: ms(
                    r,
                    &self.rebind_after_ms,
                    "listener.rebind_after_ms",
                    0.0,
                    usual.rebind_after,
                ),
                silence: if self.one_way { Silence::Off } else { silence },
                silent_least: ms(
                    r,
                    &self.silent_least_ms,
                    "listener.silent_least_ms",
                    100.0,
                    usual.silent_least,
                ),
                silent_most: r.figure(&self.silent_most, "listener.silent_most", 0.0, 1.0, usual.silent_most),
                drain_grace: ms(r, &self.drain_grace_ms, "listener.drain_grace_ms", 0.0, usual.drain_grace),
                move_over: ms(r, &self.move_over_ms, "listener.move_over_ms", 0.0, usual.move_over),
                hello: self.hello.as_ref().map(|hello| hello.get_ref().clone().into_bytes()),
                flows_per_weight: r.figure(
                    &self.flows_per_weight,
                    "listener.flows_per_weight",
                    1.0,
                    MOST_FLOWS,
                    usual.flows_per_weight,
                ),
                peers: r.whole(&self.peers, "listener.peers", 1.0, 1e6, f64::from(usual.peers)) as u32,
                zone: self.zone,
                crossing_fee: r.figure(
                    &self.crossing_fee,
                    "listener.crossing_fee",
                    0.0,
                    0.999,
                    usual.crossing_fee,
                ),
                cold_share: r.figure(&self.cold_share, "listener.cold_share", 0.001, 1.0, usual.cold_share),
                warm_up: ms(r, &self.warm_up_ms, "listener.warm_up_ms", 0.0, usual.warm_up),
                fall_multiple: r.figure(
                    &self.fall_multiple,
                    "listener.fall_multiple",
                    0.1,
                    1e3,
                    usual.fall_multiple,
                ),
            },
        }
    }

    fn fixed(&self, servers: &[Spanned<Fixed>], r: &mut Reader<'_>) -> Vec<Fixed> {
        let mut names = BTreeSet::new();
        for server in servers {
            let fixed = server.get_ref();
            if fixed.name.is_empty() || !names.insert(&fixed.name) {
                let text = format!("{:?} is empty or stands twice", fixed.name);
                r.fault(&server.span(), "listener.servers.name", text);
            }
            if !(fixed.weight > 0.0 && fixed.weight <= 1e6) {
                let text = format!("is {}; above 0 to 1e6 is allowed", fixed.weight);
                r.fault(&server.span(), "listener.servers.weight", text);
            }
        }
        servers.iter().map(|server| server.get_ref().clone()).collect()
    }
}
