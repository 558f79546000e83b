//! The settings of a daemon and of its instances, as values. How they are read stands in [`crate::fleet_file`].

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use sagemast_decide::settings::Config as SettingsObject;
use sagemast_flows::file::File as FlowsFile;
use sagemast_pools::counts::Names;
use sagemast_pools::cross_zone_budget;
use sagemast_sidecar::config::Limits;

use crate::ledger::Demand;
use crate::plan::{Change, Name, Rules, Spec};

/// Descriptors of an instance that are not connections: its listener, the same again while it moves to another
/// worker, its watch of discovery, and one to spare while a watch is replaced.
pub const OWN_DESCRIPTORS: usize = 4;
/// Fewer descriptors leave an instance less than two connections on each side.
pub const LEAST_SOCKETS: usize = 8;

/// A daemon and its fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct Fleet {
    /// What holds for the whole process.
    pub process: Process,
    /// The instances, by name.
    pub instances: BTreeMap<Name, InstanceSpec>,
}

/// What holds for the whole process.
#[derive(Debug, Clone, PartialEq)]
pub struct Process {
    /// Threads that instances live on. Changing it takes an upgrade.
    pub workers: usize,
    /// The control socket. Changing it takes a restart.
    pub control: PathBuf,
    /// Where state is kept that outlasts the process. Changing it takes a restart.
    pub state: Option<PathBuf>,
    /// What all instances together may take.
    pub budget: Demand,
    /// How many connections all instances together may hold to one upstream.
    pub connections_per_upstream: usize,
    /// Times and numbers of starts and restarts.
    pub rules: Rules,
    /// A drain takes this long at most, whatever is still open.
    pub drain_at_most: Duration,
    /// Listeners for UDP flows.
    pub flows: Option<Arc<FlowsFile>>,
    /// A successor process must be ready in this time.
    pub upgrade_within: Duration,
}

/// One instance.
#[derive(Debug, Clone, PartialEq)]
pub struct InstanceSpec {
    /// Its name.
    pub name: Name,
    /// Where its application connects. Port 0 has the system choose one, which stays the same while the daemon and
    /// its successors run.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// For random numbers; one that is not set is drawn at each start.
    pub seed: Option<u64>,
    /// Descriptors it may hold.
    pub sockets: usize,
    /// Memory it may take, in MiB.
    pub memory_mb: usize,
    /// Classes, tenants, allowances and rules, in the platform's form.
    pub settings: Arc<SettingsObject>,
    /// Budgets for traffic between zones.
    pub crossing: Option<Arc<CrossingSpec>>,
}

/// Budgets for traffic between zones, with the names that crossings are counted under.
#[derive(Debug, Clone, PartialEq)]
pub struct CrossingSpec {
    /// What holds.
    pub rules: cross_zone_budget::Rules,
    /// The names; they follow from the settings.
    pub names: Names,
}

impl InstanceSpec {
    /// How many connections it may hold on each side.
    pub fn connections(&self) -> usize {
        self.limits().max_connections(OWN_DESCRIPTORS)
    }

    /// For how many long bodies its memory suffices beside that of its connections.
    pub fn transfers(&self) -> usize {
        self.limits().max_transfers(OWN_DESCRIPTORS)
    }

    fn limits(&self) -> Limits {
        Limits { memory_mb: self.memory_mb, sockets: self.sockets }
    }
}

/// Where clients of an instance connect.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Place {
    /// At this address.
    At(SocketAddr),
    /// At a port that the system chose for this instance.
    Chosen(Name, SocketAddr),
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Place::At(address) => address.fmt(f),
            Place::Chosen(name, address) => write!(f, "{address} of {name}"),
        }
    }
}

impl Spec for InstanceSpec {
    type Group = SocketAddr;
    type Place = Place;

    fn place(&self) -> Place {
        if self.listen.port() == 0 {
            Place::Chosen(self.name.clone(), self.listen)
        } else {
            Place::At(self.listen)
        }
    }

    fn group(&self) -> SocketAddr {
        self.discovery
    }

    fn elsewhere(&self) -> u32 {
        self.settings.settings().sidecars.saturating_sub(1)
    }

    fn demand(&self) -> Demand {
        Demand { memory_mb: self.memory_mb as u64, descriptors: self.sockets as u64 }
    }

    fn change_to(&self, next: &InstanceSpec) -> Change {
        if self == next {
            Change::None
        } else if self.listen != next.listen || self.settings != next.settings || self.seed != next.seed {
            Change::Successor
        } else {
            Change::InPlace
        }
    }
}
