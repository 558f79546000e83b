//! What processes of one sidecar tell each other: lines of JSON, each bounded and checked by itself.

use sagemast_decide::settings::Config as SettingsObject;
use sagemast_decide::snapshot::{ServerSnapshot, SharedSnapshot, Snapshot};
use serde::{Deserialize, Serialize};

use super::shares::ProcessStatus;
use crate::hosts::HostList;

/// The version of what is said.
pub const VERSION: u32 = 1;
/// The longest line: the list and memory of some ten thousand upstreams.
pub const LINE_BYTES: usize = 8 << 20;

/// One line.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Message {
    /// By the younger, first.
    Hello {
        /// Its version.
        v: u32,
    },
    /// By the elder, in answer.
    Estate(Box<HandoverState>),
    /// How one of them stands; often.
    Stands(ProcessStatus),
    /// What discovery told one of them.
    News {
        /// The list, or what changed.
        list: HostList,
    },
}

/// What a process leaves to its successor.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HandoverState {
    /// The names that numbers stand for in the memory.
    pub names: SettingNames,
    /// The list of upstreams, with its version.
    pub list: HostList,
    /// What was learnt of all.
    pub all: SharedSnapshot,
    /// What was learnt of each.
    pub servers: Vec<ServerState>,
}

/// What was learnt of an upstream, by its name and life.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerState {
    /// As discovery names it.
    pub host: String,
    /// When it last started, in Unix milliseconds.
    pub born_ms: f64,
    /// What was learnt.
    pub memory: ServerSnapshot,
}

/// Names that the settings give numbers to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SettingNames {
    classes: Vec<String>,
    tenants: Vec<String>,
    zones: Vec<String>,
    kinds: Vec<String>,
}

impl SettingNames {
    /// Those of these settings.
    pub fn of(settings: &SettingsObject) -> SettingNames {
        SettingNames {
            classes: settings.classes().into_iter().map(|form| form.name).collect(),
            tenants: settings.tenant_names(),
            zones: settings.zone_names().to_vec(),
            kinds: settings.kind_names().to_vec(),
        }
    }
}

impl HandoverState {
    /// The memory in the module's terms, where an upstream's number is found by its name and life.
    pub fn memory(&self, number: impl Fn(&str, f64) -> Option<u64>) -> Snapshot {
        let servers = self.servers.iter().filter_map(|known| {
            let id = number(&known.host, known.born_ms)?;
            Some((id, known.memory))
        });
        Snapshot { servers: servers.collect(), all: self.all.clone() }
    }
}

impl Message {
    /// The line that says it.
    pub fn line(&self) -> Vec<u8> {
        // Plain values always have a form; an empty line says nothing, which a reader takes for the end.
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }

    /// What a line says.
    ///
    /// # Errors
    /// It says nothing that is known.
    pub fn read(line: &[u8]) -> Result<Message, serde_json::Error> {
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

    fn estate() -> HandoverState {
        let settings: SettingsObject = serde_json::from_str(SETTINGS).unwrap();
        let mut module = Balancer::new(settings.settings(), 1);
        module.handle(5.0, Event::ListReceived(ListUpdate::Complete(Vec::new())), &mut Vec::new());
        let Snapshot { all, .. } = module.snapshot(5.0);
        HandoverState {
            names: SettingNames::of(&settings),
            list: HostList::default(),
            all,
            servers: Vec::new(),
        }
    }

    fn sound() -> Vec<Message> {
        let standing = ProcessStatus {
            held: ResourceCounts::default(),
            whole: ResourceCounts::default(),
            leaving: true,
            serving: false,
            side: 1,
        };
        vec![
            Message::Hello { v: VERSION },
            Message::Estate(Box::new(estate())),
            Message::Stands(standing),
            Message::News { list: HostList { seq: 7, complete: false, hosts: Vec::new() } },
        ]
    }

    #[test]
    fn what_is_said_is_heard() {
        for message in sound() {
            let line = message.line();
            assert_eq!(line.iter().filter(|byte| **byte == b'\n').count(), 1);
            assert_eq!(Message::read(&line[..line.len() - 1]).unwrap(), message);
        }
    }

    #[test]
    fn no_cut_and_no_noise_is_taken_for_what_was_said() {
        let mut rng = oorandom::Rand64::new(2);
        for message in sound() {
            let line = message.line();
            for cut in 0..line.len() - 1 {
                assert!(Message::read(&line[..cut]).is_err(), "cut at {cut}");
            }
            for _ in 0..2_000 {
                let mut noise = line.clone();
                for _ in 0..rng.rand_range(1..6) {
                    let at = rng.rand_range(0..noise.len() as u64) as usize;
                    noise[at] = rng.rand_range(0..256) as u8;
                }
                // Whatever it is taken for, nothing panics, and the module checks what it would believe.
                if let Ok(Message::Estate(estate)) = Message::read(&noise) {
                    let settings: SettingsObject = serde_json::from_str(SETTINGS).unwrap();
                    let _ =
                        Balancer::new(settings.settings(), 1).restore(0.0, &estate.memory(|_, _| Some(1)));
                }
            }
        }
    }
}
