//! The list of upstreams in discovery's JSON form, which is also stored in files and handed over to
//! successors.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::log::Log;

/// A complete list, or the changes since an earlier version.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct HostList {
    /// Version.
    pub seq: u64,
    /// Whether the list is complete, rather than changes.
    #[serde(default)]
    pub whole: bool,
    /// The entries. Each is decoded on its own, so that an invalid entry does not invalidate the others.
    pub hosts: Vec<serde_json::Value>,
}

/// The entry of one upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Host {
    /// Name, the same for all sidecars.
    pub host: String,
    /// Address that it listens on.
    pub dial: SocketAddr,
    /// Zone.
    #[serde(default)]
    pub site: String,
    /// Kind of machine.
    #[serde(default)]
    pub class: String,
    /// Cell.
    #[serde(default)]
    pub block: u64,
    /// Whether it accepts new requests.
    pub health: Health,
    /// Weight: its size relative to other upstreams.
    #[serde(default = "default_weight")]
    pub share: f64,
    /// Start time of its current incarnation, in Unix milliseconds; 0 for long ago.
    #[serde(default)]
    pub born_ms: f64,
}

fn default_weight() -> f64 {
    1.0
}

/// Whether an upstream accepts new requests.
#[derive(Serialize, Deserialize, Clone, Copy, PartialEq, Eq, Debug)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// It accepts new requests.
    Ready,
    /// It only finishes the requests that it has.
    Draining,
    /// It has ended.
    Gone,
}

impl HostList {
    /// The valid entries. Invalid entries are logged.
    pub fn entries(&self, log: &Log) -> Vec<Host> {
        let decode = |entry: &serde_json::Value| match Host::deserialize(entry) {
            Ok(host) if host.share.is_finite() && host.born_ms.is_finite() => Some(host),
            Ok(host) => {
                log.line(format!("discovery: the share or born_ms of {} is not finite", host.host));
                None
            }
            Err(error) => {
                log.line(format!("discovery: an entry cannot be read: {error}"));
                None
            }
        };
        self.hosts.iter().filter_map(decode).collect()
    }

    /// The names of hosts whose entries cannot be decoded but contain a name.
    pub fn undecodable_names(&self) -> impl Iterator<Item = &str> {
        let is_undecodable = |entry: &&serde_json::Value| Host::deserialize(*entry).is_err();
        self.hosts.iter().filter(is_undecodable).filter_map(|entry| entry.get("host")?.as_str())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn invalid_entries_do_not_invalidate_the_others() {
        let list: HostList = serde_json::from_str(
            r#"{"seq":4,"hosts":[{"host":"a","dial":"127.0.0.1:1","health":"ready"},
            {"host":"b","dial":"nowhere","health":"ready"},{"host":"c","dial":"127.0.0.1:1","health":"odd"}, 7]}"#,
        )
        .unwrap();
        let names: Vec<String> = list.entries(&Log::process()).into_iter().map(|host| host.host).collect();
        assert_eq!(names, ["a"]);
    }
}
