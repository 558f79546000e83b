//! The list of upstreams in discovery's JSON form, which is also stored in files and handed over to
//! successors.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::log::Log;

/// A complete list, or the changes since an earlier version.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct HostList {
    /// Version of the list.
    pub seq: u64,
    /// Whether the list is complete. Otherwise it contains the changes since an earlier version.
    #[serde(rename = "whole", default)]
    pub complete: bool,
    /// The entries. Each is decoded on its own, so that an invalid entry does not invalidate the others.
    pub hosts: Vec<serde_json::Value>,
}

/// The entry of one upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Host {
    /// The upstream's name, the same for all sidecars.
    #[serde(rename = "host")]
    pub name: String,
    /// Address on which the upstream listens.
    #[serde(rename = "dial")]
    pub address: SocketAddr,
    /// Zone.
    #[serde(rename = "site", default)]
    pub zone: String,
    /// Kind of machine.
    #[serde(rename = "class", default)]
    pub kind: String,
    /// Cell.
    #[serde(rename = "block", default)]
    pub cell: u64,
    /// Whether the upstream accepts new requests.
    pub health: Health,
    /// Weight: the upstream's size relative to others.
    #[serde(rename = "share", default = "default_weight")]
    pub weight: f64,
    /// Start time of the upstream's current incarnation, in Unix milliseconds; 0 means long ago.
    #[serde(rename = "born_ms", default)]
    pub started_ms: f64,
}

fn default_weight() -> f64 {
    1.0
}

/// Whether an upstream accepts new requests.
#[derive(Serialize, Deserialize, Clone, Copy, PartialEq, Eq, Debug)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// The upstream accepts new requests.
    Ready,
    /// The upstream finishes the requests that it has, and accepts no others.
    Draining,
    /// The upstream has ended.
    Gone,
}

impl HostList {
    /// The valid entries. Invalid entries are logged.
    pub fn entries(&self, log: &Log) -> Vec<Host> {
        let decode = |entry: &serde_json::Value| match Host::deserialize(entry) {
            Ok(host) if host.weight.is_finite() && host.started_ms.is_finite() => Some(host),
            Ok(host) => {
                log.line(format!("discovery: the share or born_ms of {} is not finite", host.name));
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
        let names: Vec<String> = list.entries(&Log::process()).into_iter().map(|host| host.name).collect();
        assert_eq!(names, ["a"]);
    }
}
