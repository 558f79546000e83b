//! Reads `fleet.toml`: the process's settings, a template, and the instances that override it, in the same file or
//! one file each in a directory. All faults are found, not only the first, each with file, line and key; nothing of
//! a faulty file is used.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use sagemast_decide::settings::Config as SettingsObject;
use sagemast_flows::file::File as FlowsFile;
use sagemast_pools::file::File as PoolsFile;
use sagemast_sidecar::config::parse_seed;
use serde::Deserialize;
use serde::de::IntoDeserializer;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::config::{CrossingSpec, Fleet, InstanceSpec, LEAST_SOCKETS, Process};
use crate::control;
use crate::ledger::Demand;
use crate::plan::{Name, Rules};

/// A file larger than this is not a configuration: thousands of instances take some hundred KiB.
pub const FILE_BYTES: u64 = 4 << 20;
/// A directory may hold so many instances.
pub const MAX_INSTANCES: usize = 10_000;
/// Names stand in file names, log lines and tables.
const NAME_BYTES: usize = 64;
/// The longest path of a Unix socket on Linux, less the final NUL (`unix(7)`).
const SOCKET_PATH_BYTES: usize = 107;
/// More threads than this are a slip of the pen.
const MAX_WORKERS: u64 = 256;
/// What the platform's settings hold and a sidecar has no use for: no fault.
const UNUSED: [&str; 4] =
    ["weights", "allowed.multiplex", "invariants.answer_slack", "invariants.drain_grace"];

/// Something wrong in a file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// Which file.
    pub file: String,
    /// Which line, from 1; 0 where it is about the whole file.
    pub line: usize,
    /// Which key, from the top of the file down.
    pub key: String,
    /// What is wrong, and what to do.
    pub text: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fault { file, line, key, text } = self;
        match (line, key.is_empty()) {
            (0, true) => write!(f, "{file}: {text}"),
            (0, false) => write!(f, "{file}: {key}: {text}"),
            (_, true) => write!(f, "{file}:{line}: {text}"),
            (_, false) => write!(f, "{file}:{line}: {key}: {text}"),
        }
    }
}

/// Reads a file and all that it names.
pub fn load(path: &Path) -> Result<Fleet, Vec<Fault>> {
    let mut faults = Vec::new();
    let fleet = read_text(path, &mut faults).and_then(|text| fleet(path, &text, &mut faults));
    match fleet {
        Some(fleet) if faults.is_empty() => Ok(fleet),
        _ => {
            faults.sort();
            faults.dedup();
            Err(faults)
        }
    }
}

fn read_text(path: &Path, faults: &mut Vec<Fault>) -> Option<String> {
    let mut fault = |text: String| {
        faults.push(Fault { file: path.display().to_string(), line: 0, key: String::new(), text });
        None
    };
    match std::fs::metadata(path) {
        Ok(about) if about.len() > FILE_BYTES => {
            return fault(format!("is {} bytes long; {FILE_BYTES} are allowed", about.len()));
        }
        _ => {}
    }
    match std::fs::read_to_string(path) {
        Ok(text) => Some(text),
        Err(error) => fault(format!("cannot be read: {error}")),
    }
}

/// One file and its text, to tell lines from.
#[derive(Clone, Copy)]
struct Doc<'t> {
    path: &'t Path,
    text: &'t str,
}

impl Doc<'_> {
    fn line(&self, span: &Range<usize>) -> usize {
        1 + self.text.as_bytes()[..span.start.min(self.text.len())]
            .iter()
            .filter(|byte| **byte == b'\n')
            .count()
    }

    fn fault(&self, span: Range<usize>, key: impl Into<String>, text: impl Into<String>) -> Fault {
        let file = self.path.display().to_string();
        Fault { file, line: self.line(&span), key: key.into(), text: text.into() }
    }

    /// Parses it whole, with every fault of its syntax.
    fn parse<'i>(&self, text: &'i str, faults: &mut Vec<Fault>) -> Option<Spanned<DeTable<'i>>> {
        let (table, errors) = DeTable::parse_recoverable(text);
        let sound = errors.is_empty();
        faults.extend(errors.into_iter().map(|e| self.fault(e.span().unwrap_or(0..0), "", e.message())));
        sound.then_some(table)
    }
}

/// A table of a file.
#[derive(Clone)]
struct Layer<'t, 'i> {
    doc: Doc<'t>,
    path: String,
    table: &'t DeTable<'i>,
    span: Range<usize>,
}

impl<'t, 'i> Layer<'t, 'i> {
    fn find(&self, key: &str) -> Option<(&'t Spanned<DeValue<'i>>, Range<usize>)> {
        let (name, value) = self.table.iter().find(|(name, _)| name.get_ref().as_ref() == key)?;
        Some((value, name.span()))
    }

    fn key(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }
}

/// Reads the keys of a table, which may stand on another that it overrides; what it does not read is unknown.
struct Reader<'t, 'i, 'f> {
    layers: Vec<Layer<'t, 'i>>,
    read: BTreeSet<&'static str>,
    faults: &'f mut Vec<Fault>,
}

impl<'t, 'i, 'f> Reader<'t, 'i, 'f> {
    fn new(layers: Vec<Layer<'t, 'i>>, faults: &'f mut Vec<Fault>) -> Reader<'t, 'i, 'f> {
        Reader { layers, read: BTreeSet::new(), faults }
    }

    /// The value of a key in the first table that has it, with its place.
    fn get<T: Deserialize<'i>>(&mut self, key: &'static str) -> Option<(T, Layer<'t, 'i>, Range<usize>)> {
        self.read.insert(key);
        let (layer, (value, span)) =
            self.layers.iter().find_map(|layer| Some((layer.clone(), layer.find(key)?)))?;
        match T::deserialize(value.clone().into_deserializer()) {
            Ok(value) => Some((value, layer, span)),
            Err(error) => {
                self.faults.push(layer.doc.fault(span, layer.key(key), error.message()));
                None
            }
        }
    }

    /// A whole number from a range.
    fn number(&mut self, key: &'static str, range: std::ops::RangeInclusive<u64>, default: u64) -> u64 {
        let Some((value, layer, span)) = self.get::<i64>(key) else { return default };
        match u64::try_from(value).ok().filter(|value| range.contains(value)) {
            Some(value) => value,
            None => {
                let text = format!("it is {value}; from {} to {} is allowed", range.start(), range.end());
                self.faults.push(layer.doc.fault(span, layer.key(key), text));
                default
            }
        }
    }

    /// A value that is written as text.
    fn text<T: std::str::FromStr>(&mut self, key: &'static str, form: &str) -> Option<T> {
        let (text, layer, span) = self.get::<String>(key)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(_) => {
                let text = format!("{text:?} is not {form}");
                self.faults.push(layer.doc.fault(span, layer.key(key), text));
                None
            }
        }
    }

    /// A path, from the folder of the file that names it.
    fn path(&mut self, key: &'static str) -> Option<(PathBuf, Layer<'t, 'i>, Range<usize>)> {
        let (text, layer, span) = self.get::<String>(key)?;
        if text.is_empty() {
            self.faults.push(layer.doc.fault(span, layer.key(key), "it is empty; leave the key out instead"));
            return None;
        }
        let folder = layer.doc.path.parent().unwrap_or(Path::new(""));
        Some((folder.join(text), layer, span))
    }

    fn missing(&mut self, key: &'static str) {
        if let Some(layer) = self.layers.first() {
            let at = layer.doc.fault(layer.span.clone(), layer.key(key), "it is missing");
            // Where it is there and faulty, that is told already.
            if !self.layers.iter().any(|layer| layer.find(key).is_some()) {
                self.faults.push(at);
            }
        }
    }

    /// Tells of the keys of the topmost table that nobody has read.
    fn finish(self) {
        let Some(layer) = self.layers.first() else { return };
        for name in layer.table.keys() {
            let key = name.get_ref().as_ref();
            if !self.read.contains(key) {
                let known = self.read.iter().copied().collect::<Vec<_>>().join(", ");
                let text = format!("no such key; there are {known}");
                self.faults.push(layer.doc.fault(name.span(), layer.key(key), text));
            }
        }
    }
}

/// The sub-table of a table; empty where it is missing.
fn section<'t, 'i>(
    top: &Layer<'t, 'i>,
    key: &'static str,
    empty: &'t DeTable<'i>,
    faults: &mut Vec<Fault>,
) -> Layer<'t, 'i> {
    let (table, span) = match top.find(key) {
        Some((value, span)) => match value.get_ref() {
            DeValue::Table(table) => (table, span),
            other => {
                let text = format!("it is a {}; a table [{key}] is needed", other.type_str());
                faults.push(top.doc.fault(span.clone(), key, text));
                (empty, span)
            }
        },
        None => (empty, 0..0),
    };
    Layer { doc: top.doc, path: key.to_owned(), table, span }
}

fn fleet(path: &Path, text: &str, faults: &mut Vec<Fault>) -> Option<Fleet> {
    let doc = Doc { path, text };
    let table = doc.parse(text, faults)?;
    let empty = DeTable::new();
    let top = Layer { doc, path: String::new(), table: table.get_ref(), span: 0..0 };
    let (process, folder) = process(&top, &empty, faults);
    let template = section(&top, "template", &empty, faults);
    // Its keys are read with each instance; those that no instance could read are told once, here.
    let mut reader = Reader::new(vec![template.clone()], faults);
    reader.read.extend(INSTANCE_KEYS);
    reader.finish();
    let mut instances = BTreeMap::new();
    let mut found = Instances { instances: &mut instances, places: BTreeMap::new(), pools: BTreeMap::new() };
    match top.find("instance").map(|(value, span)| (value.get_ref(), span)) {
        None => {}
        Some((DeValue::Array(array), _)) => {
            for (number, entry) in array.iter().enumerate() {
                let path = format!("instance[{number}]");
                match entry.get_ref() {
                    DeValue::Table(table) => {
                        let layer = Layer { doc, path, table, span: entry.span() };
                        found.add(layer, &template, None, faults);
                    }
                    _ => faults.push(doc.fault(entry.span(), path, "a table [[instance]] is needed")),
                }
            }
        }
        Some((_, span)) => faults.push(doc.fault(span, "instance", "tables [[instance]] are needed")),
    }
    if let Some((folder, span)) = folder {
        for file in files_of(&folder, &doc, span, faults) {
            let Some(text) = read_text(&file, faults) else { continue };
            let doc = Doc { path: &file, text: &text };
            let Some(table) = doc.parse(&text, faults) else { continue };
            let layer = Layer { doc, path: String::new(), table: table.get_ref(), span: 0..0 };
            let stem = file.file_stem().map(|stem| stem.to_string_lossy().into_owned());
            // A template that outlives its file's text is needed only while this is read.
            found.add(layer, &template, stem, faults);
        }
    }
    for key in top.table.keys() {
        let name = key.get_ref().as_ref();
        if !["daemon", "budgets", "lifecycle", "template", "instance"].contains(&name) {
            let text = "no such table; there are daemon, budgets, lifecycle, template and [[instance]]";
            faults.push(doc.fault(key.span(), name, text));
        }
    }
    let fleet = Fleet { process, instances };
    whole(&fleet, &top, faults);
    Some(fleet)
}

/// What only all of it together can show.
fn whole(fleet: &Fleet, top: &Layer<'_, '_>, faults: &mut Vec<Fault>) {
    let span = top.find("budgets").map_or(0..0, |(_, span)| span);
    if fleet.instances.len() > MAX_INSTANCES {
        let text = format!("there are {}; {MAX_INSTANCES} are allowed", fleet.instances.len());
        faults.push(top.doc.fault(0..0, "instance", text));
    }
    let demand =
        |of: fn(&InstanceSpec) -> usize| fleet.instances.values().map(|spec| of(spec) as u64).sum::<u64>();
    let listeners = fleet.process.flows.iter().flat_map(|flows| &flows.listeners);
    let flows: usize = listeners.map(sagemast_flows::file::Listener::descriptors).sum();
    let needs = [
        ("budgets.descriptors", demand(|spec| spec.sockets) + flows as u64, fleet.process.budget.descriptors),
        ("budgets.memory_mb", demand(|spec| spec.memory_mb), fleet.process.budget.memory_mb),
    ];
    for (key, needs, has) in needs.into_iter().filter(|(_, needs, has)| needs > has) {
        let text = format!("it is {has}, and all instances and UDP flows together need {needs}");
        faults.push(top.doc.fault(span.clone(), key, text));
    }
}

fn process<'t, 'i>(
    top: &Layer<'t, 'i>,
    empty: &'t DeTable<'i>,
    faults: &mut Vec<Fault>,
) -> (Process, Option<(PathBuf, Range<usize>)>) {
    let daemon = section(top, "daemon", empty, faults);
    let mut reader = Reader::new(vec![daemon], faults);
    let cores = std::thread::available_parallelism().map_or(1, |cores| cores.get() as u64);
    let workers = reader.number("workers", 1..=MAX_WORKERS, cores.min(MAX_WORKERS)) as usize;
    let control = reader.path("control");
    let state = reader.path("state").map(|(path, ..)| path);
    let folder = reader.path("instances").map(|(path, _, span)| (path, span));
    let flows = reader.path("flows").and_then(|(path, ..)| flows(&path, reader.faults));
    match &control {
        None => {}
        Some((path, layer, span)) if path.as_os_str().len() > SOCKET_PATH_BYTES => {
            let text = format!("the path is longer than the {SOCKET_PATH_BYTES} bytes of a Unix socket");
            reader.faults.push(layer.doc.fault(span.clone(), layer.key("control"), text));
        }
        Some(_) => {}
    }
    reader.finish();

    let mut reader = Reader::new(vec![section(top, "budgets", empty, faults)], faults);
    let budget = Demand {
        memory_mb: reader.number("memory_mb", 1..=1 << 24, 512),
        descriptors: reader.number("descriptors", LEAST_SOCKETS as u64..=1 << 24, 4_096),
    };
    let connections_per_upstream = reader.number("connections_per_upstream", 1..=1 << 20, 256) as usize;
    reader.finish();

    const HOUR_MS: u64 = 3_600_000;
    let usual = Rules::default();
    let mut reader = Reader::new(vec![section(top, "lifecycle", empty, faults)], faults);
    let rules = Rules {
        start_within: reader.number("start_within_ms", 1..=HOUR_MS, usual.start_within),
        ready_within: reader.number("ready_within_ms", 1..=HOUR_MS, usual.ready_within),
        first_wait: reader.number("restart_first_ms", 1..=HOUR_MS, usual.first_wait),
        most_wait: reader.number("restart_most_ms", 1..=HOUR_MS, usual.most_wait),
        stable: reader.number("stable_after_ms", 1..=HOUR_MS, usual.stable),
        give_up_after: reader.number("give_up_after", 0..=1_000_000, u64::from(usual.give_up_after)) as u32,
        parallel: reader.number("parallel_starts", 1..=10_000, usual.parallel as u64) as usize,
        lower_after: usual.lower_after,
    };
    let drain_at_most = Duration::from_millis(reader.number("drain_at_most_ms", 1..=HOUR_MS, 30_000));
    let upgrade_within = Duration::from_millis(reader.number("upgrade_within_ms", 1..=HOUR_MS, 30_000));
    reader.finish();
    let process = Process {
        workers,
        control: control.map_or_else(|| control::usual(|name| std::env::var_os(name)), |(path, ..)| path),
        state,
        budget,
        connections_per_upstream,
        rules,
        drain_at_most,
        flows,
        upgrade_within,
    };
    (process, folder)
}

/// The file of listeners for UDP flows.
fn flows(path: &Path, faults: &mut Vec<Fault>) -> Option<Arc<FlowsFile>> {
    let text = read_text(path, faults)?;
    match FlowsFile::read(&text) {
        Ok(file) => Some(Arc::new(file)),
        Err(found) => {
            let file = path.display().to_string();
            let told = |fault: sagemast_flows::file::Fault| {
                let sagemast_flows::file::Fault { line, key, text } = fault;
                Fault { file: file.clone(), line, key, text }
            };
            faults.extend(found.into_iter().map(told));
            None
        }
    }
}

/// The files of the directory form, in the order of their names.
fn files_of(folder: &Path, doc: &Doc<'_>, span: Range<usize>, faults: &mut Vec<Fault>) -> Vec<PathBuf> {
    let entries = match std::fs::read_dir(folder) {
        Ok(entries) => entries,
        Err(error) => {
            let text = format!("{} cannot be read: {error}", folder.display());
            faults.push(doc.fault(span, "daemon.instances", text));
            return Vec::new();
        }
    };
    let paths = entries.filter_map(|entry| entry.ok().map(|entry| entry.path()));
    let mut files: Vec<PathBuf> = paths
        .filter(|path| path.extension().is_some_and(|ending| ending == "toml"))
        .take(MAX_INSTANCES + 1)
        .collect();
    files.sort();
    files
}

/// The keys of an instance, also in the template.
const INSTANCE_KEYS: [&str; 8] =
    ["listen", "discovery", "seed", "sockets", "memory_mb", "settings", "settings_file", "pools"];

/// The instances found so far.
struct Instances<'m> {
    instances: &'m mut BTreeMap<Name, InstanceSpec>,
    places: BTreeMap<SocketAddr, Name>,
    /// The files of limits that instances name; `None` is one with faults.
    pools: BTreeMap<PathBuf, Option<PoolsFile>>,
}

impl Instances<'_> {
    fn add(
        &mut self,
        own: Layer<'_, '_>,
        template: &Layer<'_, '_>,
        stem: Option<String>,
        faults: &mut Vec<Fault>,
    ) {
        // The texts of two files live for different times; what is read of them does not borrow from either.
        let top = own.clone();
        let mut reader = Reader::new(vec![own.clone(), template.clone()], faults);
        let named = reader.get::<String>("name");
        let span = named.as_ref().map_or(top.span.clone(), |(_, _, span)| span.clone());
        let name = named.map(|(name, ..)| name).or(stem);
        let Some(name) = name else {
            reader.missing("name");
            return;
        };
        let listen = reader.text::<SocketAddr>("listen", "an address such as 127.0.0.1:7070");
        let discovery = reader.text::<SocketAddr>("discovery", "an address such as 127.0.0.1:8500");
        let seed = reader.get::<String>("seed").map(|(text, ..)| parse_seed(&text));
        let sockets = reader.number("sockets", LEAST_SOCKETS as u64..=1 << 20, 64) as usize;
        let memory_mb = reader.number("memory_mb", 1..=1 << 20, 8) as usize;
        [("listen", listen.is_none()), ("discovery", discovery.is_none())]
            .into_iter()
            .filter(|(_, missing)| *missing)
            .for_each(|(key, _)| reader.missing(key));
        let settings = settings(&mut reader);
        let crossing = self.crossing(&mut reader, settings.as_deref());
        reader.finish();
        let fits = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
        if name.is_empty() || name.len() > NAME_BYTES || !name.chars().all(fits) || name.starts_with('.') {
            let text =
                format!("{name:?} is not a name: letters, digits, '.', '_' and '-', {NAME_BYTES} at most");
            faults.push(top.doc.fault(span, top.key("name"), text));
            return;
        }
        let name = Name::from(name);
        if self.instances.contains_key(&name) {
            faults.push(top.doc.fault(span, top.key("name"), format!("two instances are named {name:?}")));
            return;
        }
        if let Some(listen) = listen.filter(|listen| listen.port() != 0) {
            let at = top.find("listen").map_or(top.span.clone(), |(_, span)| span);
            if let Some(other) = self.places.insert(listen, name.clone()) {
                let text = format!("{other:?} listens on {listen}, too");
                faults.push(top.doc.fault(at, top.key("listen"), text));
            }
        }
        let (Some(listen), Some(discovery), Some(settings)) = (listen, discovery, settings) else { return };
        let spec = InstanceSpec {
            name: name.clone(),
            listen,
            discovery,
            seed,
            sockets,
            memory_mb,
            settings,
            crossing,
        };
        self.instances.insert(name, spec);
    }

    /// The budgets for traffic between zones, from the file that an instance names, read once for all of them.
    fn crossing(
        &mut self,
        reader: &mut Reader<'_, '_, '_>,
        settings: Option<&SettingsObject>,
    ) -> Option<Arc<CrossingSpec>> {
        let (path, ..) = reader.path("pools")?;
        let shown = path.display().to_string();
        let told = |fault: sagemast_pools::file::Fault| {
            let sagemast_pools::file::Fault { line, key, text } = fault;
            Fault { file: shown.clone(), line, key, text }
        };
        if !self.pools.contains_key(&path) {
            let read = read_text(&path, reader.faults).map(|text| PoolsFile::read(&text));
            let file = read.and_then(|read| {
                read.map_err(|faults| reader.faults.extend(faults.into_iter().map(told))).ok()
            });
            self.pools.insert(path.clone(), file);
        }
        let (file, settings) = (self.pools.get(&path)?.as_ref()?, settings?);
        match file.rules(settings) {
            Ok((rules, names)) => Some(Arc::new(CrossingSpec { rules, names })),
            Err(faults) => {
                reader.faults.extend(faults.into_iter().map(told));
                None
            }
        }
    }
}

/// The settings object: from a JSON file in the platform's form, or written out, where an instance's own keys
/// override the template's one by one.
fn settings(reader: &mut Reader<'_, '_, '_>) -> Option<Arc<SettingsObject>> {
    let file = reader.path("settings_file");
    reader.read.insert("settings");
    let inline: Vec<_> =
        reader.layers.iter().filter_map(|layer| Some((layer.clone(), layer.find("settings")?))).collect();
    // The topmost table that says anything about it decides which form it is.
    let first_has = |key| reader.layers.iter().position(|layer| layer.find(key).is_some());
    match (file, first_has("settings_file"), first_has("settings")) {
        (Some((_, layer, span)), Some(a), Some(b)) if a == b => {
            let text = "give settings or settings_file, not both";
            reader.faults.push(layer.doc.fault(span, layer.key("settings_file"), text));
            None
        }
        (Some((path, layer, span)), Some(a), b) if b.is_none_or(|b| a < b) => {
            let text = read_text(&path, reader.faults)?;
            match serde_json::from_str::<SettingsObject>(&text) {
                Ok(settings) => {
                    let file = path.display().to_string();
                    let at = |(key, text)| Fault { file: file.clone(), line: 0, key, text };
                    reader.faults.extend(settings.validation_errors().into_iter().map(at));
                    Some(Arc::new(settings))
                }
                Err(error) => {
                    let text = format!("{}: {error}", path.display());
                    reader.faults.push(layer.doc.fault(span, layer.key("settings_file"), text));
                    None
                }
            }
        }
        (_, None, None) => {
            reader.missing("settings");
            None
        }
        _ => written_out(inline, reader.faults),
    }
}

type Found<'t, 'i> = (Layer<'t, 'i>, (&'t Spanned<DeValue<'i>>, Range<usize>));

fn written_out(inline: Vec<Found<'_, '_>>, faults: &mut Vec<Fault>) -> Option<Arc<SettingsObject>> {
    let (top, (first, span)) = inline.first()?;
    let (key, place) = (top.key("settings"), span.clone());
    let mut merged: Spanned<DeValue<'_>> = (*first).clone();
    for (_, (below, _)) in &inline[1..] {
        stand_on(&mut merged, below);
    }
    let mut unknown = Vec::new();
    let note = |path: serde_ignored::Path<'_>| unknown.push(path.to_string());
    let read: Result<SettingsObject, _> = serde_ignored::deserialize(merged.into_deserializer(), note);
    let locate = |path: &str| {
        let found = inline.iter().find_map(|(layer, (value, span))| {
            Some((layer, place_of(value, path)?)).or_else(|| path.is_empty().then(|| (layer, span.clone())))
        });
        found.map_or((top, place.clone()), |(layer, span)| (layer, span))
    };
    for path in unknown.iter().filter(|path| !UNUSED.contains(&path.as_str())) {
        let (layer, span) = locate(path);
        let text = "no such key; see docs/daemon.md for those of the settings";
        faults.push(layer.doc.fault(span, format!("{}.{path}", layer.key("settings")), text));
    }
    match read {
        Ok(settings) => {
            for (path, text) in settings.validation_errors() {
                let (layer, span) = locate(&path);
                faults.push(layer.doc.fault(span, format!("{}.{path}", layer.key("settings")), text));
            }
            Some(Arc::new(settings))
        }
        Err(error) => {
            // With one table the error knows its line; of two that were put together it knows only the offset.
            let span = error.span().filter(|_| inline.len() == 1).unwrap_or(place.clone());
            faults.push(top.doc.fault(span, key, error.message()));
            None
        }
    }
}

/// Adds what a table does not say itself from the one that it stands on; tables within tables likewise.
fn stand_on<'i>(upper: &mut Spanned<DeValue<'i>>, below: &Spanned<DeValue<'i>>) {
    let (DeValue::Table(upper), DeValue::Table(below)) = (upper.get_mut(), below.get_ref()) else { return };
    for (key, value) in below {
        match upper.iter_mut().find(|(name, _)| name.get_ref() == key.get_ref()) {
            Some((_, own)) => stand_on(own, value),
            None => {
                upper.insert(key.clone(), value.clone());
            }
        }
    }
}

/// Where a path such as `classes[2].aim` or `classes.2.aim` stands.
fn place_of(value: &Spanned<DeValue<'_>>, path: &str) -> Option<Range<usize>> {
    let mut here = value;
    let mut span = value.span();
    for part in path.split(['.', '[', ']']).filter(|part| !part.is_empty()) {
        match here.get_ref() {
            DeValue::Table(table) => {
                let (name, next) = table.iter().find(|(name, _)| name.get_ref().as_ref() == part)?;
                (here, span) = (next, name.span());
            }
            DeValue::Array(array) => {
                here = array.get(part.parse::<usize>().ok()?)?;
                span = here.span();
            }
            _ => return None,
        }
    }
    Some(span)
}
