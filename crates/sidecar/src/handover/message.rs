//! Messages between processes of one sidecar: lines of JSON, each of bounded length and checked on its own.

use sagemast_decide::settings::Config as SettingsObject;
use sagemast_decide::snapshot::{ServerSnapshot, SharedSnapshot, Snapshot};
use serde::{Deserialize, Serialize};

use super::shares::ProcessStatus;
use crate::hosts::HostList;
use crate::request_ids::exchange::{IdNotice, IdRequest};

/// Version of the protocol.
pub const VERSION: u32 = 1;
/// Longest line: a host list with the estimates of about ten thousand upstreams.
pub const MAX_LINE_BYTES: usize = 8 << 20;

/// One message, sent as one line.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Message {
    /// First message of the successor.
    Hello {
        /// Protocol version of the successor.
        v: u32,
    },
    /// Answer of the predecessor to the hello.
    #[serde(rename = "estate")]
    HandoverState(Box<HandoverState>),
    /// Status of the sender, sent periodically by both.
    #[serde(rename = "stands")]
    Status(ProcessStatus),
    /// A list that the sender received from discovery.
    #[serde(rename = "news")]
    HostListUpdate {
        /// The complete list, or the changed entries.
        list: HostList,
    },
    /// What the successor did with request ids.
    IdRequests {
        /// In order.
        requests: Vec<IdRequest>,
    },
    /// What the predecessor decided about request ids.
    IdNotices {
        /// In order.
        notices: Vec<IdNotice>,
    },
}

/// State from which a successor continues.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HandoverState {
    /// Names for the numeric ids in the estimates.
    pub names: SettingNames,
    /// The host list with its version.
    pub list: HostList,
    /// Estimates that all upstreams share.
    #[serde(rename = "all")]
    pub shared: SharedSnapshot,
    /// Estimates of each upstream.
    pub servers: Vec<ServerState>,
}

/// Estimates of one incarnation of an upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerState {
    /// Name of the upstream in discovery.
    pub host: String,
    /// Start of the incarnation, in Unix milliseconds.
    #[serde(rename = "born_ms")]
    pub started_ms: f64,
    /// The estimates.
    #[serde(rename = "memory")]
    pub snapshot: ServerSnapshot,
}

/// Names to which the settings assign numeric ids. Estimates of a process with other names cannot be used.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SettingNames {
    classes: Vec<String>,
    tenants: Vec<String>,
    zones: Vec<String>,
    kinds: Vec<String>,
}

impl SettingNames {
    /// The names in these settings.
    pub fn from_settings(settings: &SettingsObject) -> SettingNames {
        SettingNames {
            classes: settings.classes().into_iter().map(|form| form.name).collect(),
            tenants: settings.tenant_names(),
            zones: settings.zone_names().to_vec(),
            kinds: settings.kind_names().to_vec(),
        }
    }
}

impl HandoverState {
    /// Converts the estimates to a snapshot for the decision module. `id_of` finds the id of an upstream by
    /// its name and start time; upstreams without an id are omitted.
    pub fn snapshot(&self, id_of: impl Fn(&str, f64) -> Option<u64>) -> Snapshot {
        let servers = self.servers.iter().filter_map(|server| {
            let id = id_of(&server.host, server.started_ms)?;
            Some((id, server.snapshot))
        });
        Snapshot { servers: servers.collect(), all: self.shared.clone() }
    }
}

impl Message {
    /// Serializes the message as a line, with its line end.
    pub fn to_line(&self) -> Vec<u8> {
        // Serialization of plain values cannot fail. If it did, the line would be empty, and the reader would
        // close the connection.
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }

    /// Parses a line without its line end.
    ///
    /// # Errors
    /// The line is not a known message.
    pub fn parse(line: &[u8]) -> Result<Message, serde_json::Error> {
        serde_json::from_slice(line)
    }
}

#[cfg(test)]
mod tests {
    use sagemast_decide::Balancer;
    use sagemast_decide::api::{Event, ListUpdate};

    use super::*;
    use crate::budget::ResourceCounts;

    const SETTINGS: &str = r#"{"classes":[{"name":"a","aim":250.0,"hard_limit":900.0,"importance":2.0,"effect":"repeatable"}],
        "allowed":{"max_attempts":3},"peers_total":3,"membership_mode":"automatic","telemetry":{},"kinds":["k"],
        "invariants":{"cold_share":0.1,"warm_up":2e4,"fall_multiple":2.5,"fall":1500.0}}"#;

    fn handover_state() -> HandoverState {
        let settings: SettingsObject = serde_json::from_str(SETTINGS).unwrap();
        let mut module = Balancer::new(settings.settings(), 1);
        module.handle(5.0, Event::ListReceived(ListUpdate::Complete(Vec::new())), &mut Vec::new());
        let Snapshot { all, .. } = module.snapshot(5.0);
        HandoverState {
            names: SettingNames::from_settings(&settings),
            list: HostList::default(),
            shared: all,
            servers: Vec::new(),
        }
    }

    fn valid_messages() -> Vec<Message> {
        let status = ProcessStatus {
            in_use: ResourceCounts::default(),
            limits: ResourceCounts::default(),
            ending: true,
            serving: false,
            process_count: 1,
            shares_request_ids: true,
        };
        let id_requests =
            serde_json::from_str(r#"[{"claim":18446744073709551615},{"release":1},{"release-used":2}]"#)
                .unwrap();
        let id_notices = serde_json::from_str(r#"[{"granted":1},{"denied":2},{"used":3}]"#).unwrap();
        vec![
            Message::Hello { v: VERSION },
            Message::HandoverState(Box::new(handover_state())),
            Message::Status(status),
            Message::HostListUpdate { list: HostList { seq: 7, complete: false, hosts: Vec::new() } },
            Message::IdRequests { requests: id_requests },
            Message::IdNotices { notices: id_notices },
        ]
    }

    #[test]
    fn each_message_survives_a_round_trip_in_one_line() {
        for message in valid_messages() {
            let line = message.to_line();
            assert_eq!(line.iter().filter(|byte| **byte == b'\n').count(), 1);
            assert_eq!(Message::parse(&line[..line.len() - 1]).unwrap(), message);
        }
    }

    #[test]
    fn truncated_line_is_rejected_and_corrupted_line_causes_no_panic() {
        let mut rng = oorandom::Rand64::new(2);
        for message in valid_messages() {
            let line = message.to_line();
            for cut in 0..line.len() - 1 {
                assert!(Message::parse(&line[..cut]).is_err(), "truncated at byte {cut}");
            }
            for _ in 0..2_000 {
                let mut corrupted = line.clone();
                for _ in 0..rng.rand_range(1..6) {
                    let at = rng.rand_range(0..corrupted.len() as u64) as usize;
                    corrupted[at] = rng.rand_range(0..256) as u8;
                }
                // A corrupted line may still parse; the decision module checks the estimates that it
                // restores.
                if let Ok(Message::HandoverState(state)) = Message::parse(&corrupted) {
                    let settings: SettingsObject = serde_json::from_str(SETTINGS).unwrap();
                    let _ =
                        Balancer::new(settings.settings(), 1).restore(0.0, &state.snapshot(|_, _| Some(1)));
                }
            }
        }
    }
}
