//! The list of upstreams in discovery's form: what is told on the wire, kept in files and handed on.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::log::Log;

/// A list, or what changed in it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct HostList {
    /// Its version.
    pub seq: u64,
    /// Whether it is complete.
    #[serde(default)]
    pub whole: bool,
    /// Its entries, each decoded by itself: one that is broken must not take the others with it.
    pub hosts: Vec<serde_json::Value>,
}

/// An upstream as discovery tells it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Host {
    /// Its name, the same at every sidecar.
    pub host: String,
    /// Where it listens.
    pub dial: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub site: String,
    /// Its kind of machine.
    #[serde(default)]
    pub class: String,
    /// Its cell.
    #[serde(default)]
    pub block: u64,
    /// Whether it takes new work.
    pub health: Health,
    /// Its size compared with others.
    #[serde(default = "one")]
    pub share: f64,
    /// When it last started, in Unix milliseconds; 0 for long ago.
    #[serde(default)]
    pub born_ms: f64,
}

fn one() -> f64 {
    1.0
}

/// Whether an upstream takes new work.
#[derive(Serialize, Deserialize, Clone, Copy, PartialEq, Eq, Debug)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// It does.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It is no more.
    Gone,
}

impl HostList {
    /// The entries that can be read; the others are logged.
    pub fn entries(&self, log: &Log) -> Vec<Host> {
        let read = |entry: &serde_json::Value| match Host::deserialize(entry) {
            Ok(host) if host.share.is_finite() && host.born_ms.is_finite() => Some(host),
            Ok(host) => {
                log.line(format!("discovery: absurd figures for {}", host.host));
                None
            }
            Err(error) => {
                log.line(format!("discovery: an entry cannot be read: {error}"));
                None
            }
        };
        self.hosts.iter().filter_map(read).collect()
    }

    /// The hosts whose entries cannot be read, as far as their names can.
    pub fn undecodable_names(&self) -> impl Iterator<Item = &str> {
        let unread = |entry: &&serde_json::Value| Host::deserialize(*entry).is_err();
        self.hosts.iter().filter(unread).filter_map(|entry| entry.get("host")?.as_str())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_broken_entry_leaves_the_others() {
        let list: HostList = serde_json::from_str(
            r#"{"seq":4,"hosts":[{"host":"a","dial":"127.0.0.1:1","health":"ready"},
            {"host":"b","dial":"nowhere","health":"ready"},{"host":"c","dial":"127.0.0.1:1","health":"odd"}, 7]}"#,
        )
        .unwrap();
        let names: Vec<String> = list.entries(&Log::process()).into_iter().map(|host| host.host).collect();
        assert_eq!(names, ["a"]);
    }
}
