//! All servers that discovery has listed, by id, with what decisions need of the whole fleet: the servers
//! that may be sampled (by zone, by cell and by subset), the members of this sidecar's subset, and totals.
//! Everything is updated as single servers change, so that a query costs the same for any number of servers.
//! Only the update of the subset walks over all servers; it runs when a server or the subset's target size
//! has changed.

use std::collections::{BTreeMap, BTreeSet};

use oorandom::Rand64;
use rustc_hash::FxHashMap;

use crate::api::*;
use crate::observed_capacity::WarmedUpServers;
use crate::state::{FleetMeans, Health, Upstream};
use crate::subset::ServerRanking;

/// Index of a server in [`Fleet`], valid until the server is removed.
pub(crate) type Slot = usize;

/// A set of servers that candidates are sampled from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum CandidateScope {
    All,
    Zone(ZoneId),
    Cell(CellId),
    /// The members of the subset.
    Members,
    /// The members of the subset in one zone.
    MembersInZone(ZoneId),
}

impl CandidateScope {
    /// The scope reduced to members of the subset. A cell is not reduced: it has few servers, and no
    /// others recognise its keys as duplicates.
    pub fn in_subset(self) -> CandidateScope {
        match self {
            CandidateScope::All => CandidateScope::Members,
            CandidateScope::Zone(zone) => CandidateScope::MembersInZone(zone),
            CandidateScope::Cell(_) | CandidateScope::Members | CandidateScope::MembersInZone(_) => self,
        }
    }
}

/// All scopes that a server of this zone and cell can belong to. The first [`SCOPES_OF_NON_MEMBERS`] do not
/// depend on membership.
fn scopes(zone: ZoneId, cell: CellId) -> [CandidateScope; 5] {
    [
        CandidateScope::All,
        CandidateScope::Zone(zone),
        CandidateScope::Cell(cell),
        CandidateScope::Members,
        CandidateScope::MembersInZone(zone),
    ]
}

const SCOPES_OF_NON_MEMBERS: usize = 3;
/// Interval between updates of the subset while servers warm up: their allowances and the number of their
/// owners grow.
const WARM_UP_REVIEW_INTERVAL: Millis = 250.0;
/// Where cross-zone traffic has a cost, the number of members in other zones as a share of the target size.
const CROSS_ZONE_MEMBER_SHARE: f64 = 0.5;
/// Minimum number of members, if there are that many servers: a pair to choose from.
const MIN_MEMBERS: usize = 2;

/// How a server counts for the subset of this sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SubsetStatus {
    /// The server has its full capacity.
    WarmedUp,
    /// The server's zone is unreachable. Servers in slow start have this status, too.
    ZoneUnreachable,
    /// The server is in slow start; `owned` tells whether this sidecar has a share of its allowance.
    WarmingUp { owned: bool },
}

/// The servers of one scope, in arbitrary order. Half-open servers are among the ready ones.
#[derive(Debug, Default)]
struct Group {
    ready: Vec<Slot>,
    ejected: Vec<Slot>,
}

impl Group {
    fn slots_mut(&mut self, is_ready: bool) -> &mut Vec<Slot> {
        if is_ready { &mut self.ready } else { &mut self.ejected }
    }
}

/// One server's part of the fleet's totals.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Contribution {
    serving: bool,
    ejected: bool,
    has_valid_report: bool,
    failure_rate: f64,
    log_other_in_flight: f64,
}

/// A server with its place in the indices of the fleet.
#[derive(Debug)]
struct Entry {
    id: UpstreamId,
    server: Upstream,
    /// Position in this sidecar's ranking, as in [`ServerRanking::position`].
    position: u64,
    /// Index into [`Fleet::ranked`]: 0 in the home zone (or without one), 1 in other zones.
    locality: usize,
    is_member: bool,
    contribution: Contribution,
    /// `None` while the server is in no group.
    placement: Option<Placement>,
    /// As entered in [`Fleet::report_expiries`].
    report_expires_at: Option<Microseconds>,
    /// As entered in [`Fleet::half_open_times`].
    half_open_at: Option<Microseconds>,
    /// Number of the last complete list that named the server.
    last_list: u64,
}

/// Where a server is entered in the groups.
#[derive(Debug, Clone, Copy)]
struct Placement {
    /// Index in the group of each of the [`scopes`].
    indices: [usize; 5],
    zone: ZoneId,
    cell: CellId,
    is_ready: bool,
    is_member: bool,
}

/// A time as an integer, so that it can be an ordered key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Microseconds(i64);

impl Microseconds {
    pub fn to_millis(self) -> Millis {
        self.0 as f64 / 1e3
    }

    pub fn from_millis(time: Millis) -> Microseconds {
        Microseconds((time * 1e3) as i64)
    }
}

/// Logarithm of the number of requests that other sidecars have in flight at a server. Its mean is a
/// geometric mean: with a plain mean, one congested server among the few that have reported would make all
/// others look congested, and requests that they have capacity for would be refused.
fn log_other_in_flight(server: &Upstream) -> f64 {
    (server.reported_in_flight - server.outstanding.len() as f64).max(0.0).ln_1p()
}

/// All servers that are listed, or that still have attempts in flight.
#[derive(Debug)]
pub(crate) struct Fleet {
    ranking: ServerRanking,
    /// This sidecar's zone, where cross-zone traffic has a cost.
    home_zone: Option<ZoneId>,
    /// Serving servers in ranking order: those of the home zone (or all, without one), then those of other
    /// zones.
    ranked: [BTreeSet<(u64, Slot)>; 2],
    /// Target size at the last update of the subset.
    subset_target: usize,
    /// When the subset has to be updated at the latest.
    subset_review_at: Millis,
    /// Whether servers have changed so that the subset has to be updated.
    subset_outdated: bool,
    entries: Vec<Option<Entry>>,
    free_slots: Vec<Slot>,
    /// Never iterated, so that no decision depends on hash order. Ids are assigned by the caller, never by
    /// outsiders.
    by_id: FxHashMap<UpstreamId, Slot>,
    groups: FxHashMap<CandidateScope, Group>,
    /// When servers' last reports expire.
    report_expiries: BTreeSet<(Microseconds, Slot)>,
    /// When ejected servers become half-open.
    half_open_times: BTreeSet<(Microseconds, Slot)>,
    serving: usize,
    ejected: usize,
    /// Serving servers with a valid report.
    reporting: usize,
    failure_rate_sum: f64,
    log_other_in_flight_sum: f64,
    kind_counts: BTreeMap<KindId, usize>,
    /// Complete lists received so far.
    list_count: u64,
    /// Number of servers examined so far: the cost of sampling, for tests of scaling.
    pub examined_count: u64,
}

impl Fleet {
    /// An empty fleet. With a home zone, most members are taken from it.
    pub fn new(ranking: ServerRanking, home_zone: Option<ZoneId>) -> Fleet {
        Fleet {
            ranking,
            home_zone,
            ranked: Default::default(),
            subset_target: 0,
            subset_review_at: f64::INFINITY,
            subset_outdated: false,
            entries: Vec::new(),
            free_slots: Vec::new(),
            by_id: FxHashMap::default(),
            groups: FxHashMap::default(),
            report_expiries: BTreeSet::new(),
            half_open_times: BTreeSet::new(),
            serving: 0,
            ejected: 0,
            reporting: 0,
            failure_rate_sum: 0.0,
            log_other_in_flight_sum: 0.0,
            kind_counts: BTreeMap::new(),
            list_count: 0,
            examined_count: 0,
        }
    }

    /// Whether the subset needs no update for this target size.
    pub fn is_subset_current(&self, target: usize, now: Millis) -> bool {
        self.ranking.includes_all()
            || !(self.subset_outdated || target != self.subset_target || now >= self.subset_review_at)
    }

    /// Determines the members again: serving servers in ranking order until the target number of them is
    /// ready, warmed up and reachable, and every warming-up server that this sidecar owns. Members that are
    /// ejected or in an unreachable zone do not count towards the target, so that others compensate for them.
    pub fn update_subset(
        &mut self,
        target: usize,
        now: Millis,
        status: impl Fn(UpstreamId, &Upstream) -> SubsetStatus,
    ) {
        (self.subset_outdated, self.subset_target, self.subset_review_at) = (false, target, f64::INFINITY);
        // Members that the home zone lacks are taken from other zones.
        let mut missing_at_home = 0;
        let cross_zone_target = if self.home_zone.is_some() {
            (CROSS_ZONE_MEMBER_SHARE * target as f64).ceil() as usize
        } else {
            0
        };
        for (locality, target) in [target, cross_zone_target].into_iter().enumerate() {
            let target =
                if locality == 0 || self.home_zone.is_none() { target } else { target.max(missing_at_home) };
            let ranked = std::mem::take(&mut self.ranked[locality]);
            let (mut missing, mut warming_up) = (target, Vec::new());
            for &(_, slot) in &ranked {
                let Some(entry) = self.entries.get_mut(slot).and_then(Option::as_mut) else { continue };
                let is_member = match status(entry.id, &entry.server) {
                    SubsetStatus::WarmingUp { owned } => {
                        self.subset_review_at = now + WARM_UP_REVIEW_INTERVAL;
                        warming_up.push(slot);
                        owned
                    }
                    SubsetStatus::ZoneUnreachable => missing > 0,
                    SubsetStatus::WarmedUp => {
                        let is_member = missing > 0;
                        missing -= usize::from(is_member && entry.server.health == Health::Ready);
                        is_member
                    }
                };
                if is_member != entry.is_member {
                    entry.is_member = is_member;
                    self.refresh(slot);
                }
            }
            missing_at_home = missing;
            // With too few warmed-up members, servers that are warming up become members regardless of their
            // owners.
            let extra = target.min(MIN_MEMBERS).saturating_sub(target - missing);
            for slot in warming_up.into_iter().take(extra) {
                if let Some(entry) = self.entries[slot].as_mut() {
                    entry.is_member = true;
                }
                self.refresh(slot);
            }
            self.ranked[locality] = ranked;
        }
        self.subset_outdated = false;
    }

    /// Has the subset updated at the next request, because the status of servers has changed.
    pub fn invalidate_subset(&mut self) {
        self.subset_outdated = true;
    }

    /// Whether a server is in this sidecar's subset.
    pub fn is_member(&self, id: UpstreamId) -> bool {
        self.slot(id).and_then(|slot| self.entries[slot].as_ref()).is_some_and(|entry| entry.is_member)
    }

    pub fn slot(&self, id: UpstreamId) -> Option<Slot> {
        self.by_id.get(&id).copied()
    }

    pub fn at_slot(&self, slot: Slot) -> Option<(UpstreamId, &Upstream)> {
        self.entries.get(slot)?.as_ref().map(|entry| (entry.id, &entry.server))
    }

    pub fn get(&self, id: UpstreamId) -> Option<&Upstream> {
        self.at_slot(self.slot(id)?).map(|(_, server)| server)
    }

    /// All servers, in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamId, &Upstream)> {
        self.entries.iter().flatten().map(|entry| (entry.id, &entry.server))
    }

    /// Changes a server, then its groups, its expiry and half-open times and the totals accordingly.
    pub fn update<T>(&mut self, id: UpstreamId, change: impl FnOnce(&mut Upstream) -> T) -> Option<T> {
        let slot = self.slot(id)?;
        let result = change(&mut self.entries[slot].as_mut()?.server);
        self.refresh(slot);
        Some(result)
    }

    /// The number of servers that are listed as serving.
    pub fn serving_count(&self) -> usize {
        self.serving
    }

    /// The number of serving servers that are ejected, half-open ones included.
    pub fn ejected_count(&self) -> usize {
        self.ejected
    }

    /// Mean failure rate of the serving servers.
    pub fn mean_failure_rate(&self) -> f64 {
        if self.serving > 0 { (self.failure_rate_sum / self.serving as f64).max(0.0) } else { 0.0 }
    }

    /// Geometric means over servers with a valid report, as estimates for a server without one.
    pub fn means(&self) -> FleetMeans {
        let mean =
            if self.reporting > 0 { self.log_other_in_flight_sum / self.reporting as f64 } else { 0.0 };
        FleetMeans { in_flight_from_others: mean.max(0.0).exp_m1() }
    }

    /// The expected number of members of a kind of machine, at least 1: members are assumed to be spread over
    /// kinds as all servers are.
    pub fn members_of(&self, kind: KindId) -> f64 {
        let of_kind = self.kind_counts.get(&kind).copied().unwrap_or(0) as f64;
        let members = self.sizes(CandidateScope::Members).1 as f64;
        (of_kind * members / self.serving.max(1) as f64).max(1.0)
    }

    /// Whether any server is of this kind of machine.
    pub fn has_kind(&self, kind: KindId) -> bool {
        self.kind_counts.contains_key(&kind)
    }

    /// Total weight and mean utilisation of all ready servers that have warmed up, members or not.
    pub fn warmed_up_servers(&self, now: Millis, limits: &SlowStartLimits) -> WarmedUpServers {
        let serving = self.entries.iter().flatten().filter(|entry| entry.server.serving);
        let ready = serving.filter(|entry| entry.server.health == Health::Ready);
        let warmed_up = ready.filter(|entry| entry.server.warm_up_fraction(now, limits) >= 1.0);
        let (mut weight, mut reports, mut utilisation_sum) = (0.0, 0.0, 0.0);
        for entry in warmed_up {
            weight += entry.server.weight;
            if let Some(utilisation) = entry.server.utilisation.filter(|_| entry.server.has_valid_report) {
                reports += 1.0;
                utilisation_sum += utilisation;
            }
        }
        WarmedUpServers { weight, utilisation: if reports > 0.0 { utilisation_sum / reports } else { 1.0 } }
    }

    /// The number of servers within a scope: those that are ready or half-open, and all of them.
    pub fn sizes(&self, scope: CandidateScope) -> (usize, usize) {
        let group = self.groups.get(&scope);
        group.map_or((0, 0), |group| (group.ready.len(), group.ready.len() + group.ejected.len()))
    }

    /// Applies discovery's entry of one server. A server that is unknown and not serving is ignored.
    pub fn apply_listing(&mut self, listing: &Listing) {
        let slot = match self.slot(listing.upstream) {
            Some(slot) => slot,
            None if listing.lifecycle != Lifecycle::Serving => return,
            None => self.add(listing),
        };
        let locality = usize::from(self.home_zone.is_some_and(|home| home != listing.zone));
        let Some(entry) = self.entries[slot].as_mut() else { return };
        entry.last_list = self.list_count;
        let old_kind = entry.server.kind;
        self.subset_outdated |= entry.server.started != listing.started;
        entry.server.update_from_listing(listing);
        if entry.locality != locality {
            self.ranked[entry.locality].remove(&(entry.position, slot));
            entry.locality = locality;
        }
        if old_kind != listing.kind {
            self.decrement_kind(old_kind);
            *self.kind_counts.entry(listing.kind).or_default() += 1;
        }
        self.refresh(slot);
        self.remove_slot_if_gone(slot);
    }

    /// Starts a complete list; its entries follow with [`Fleet::apply_listing`].
    pub fn begin_complete_list(&mut self) {
        self.list_count += 1;
    }

    /// Ends a complete list: servers that it did not name are no longer serving.
    pub fn end_complete_list(&mut self) {
        for slot in 0..self.entries.len() {
            let list = self.list_count;
            let Some(entry) = self.entries[slot].as_mut().filter(|entry| entry.last_list < list) else {
                continue;
            };
            entry.server.serving = false;
            self.refresh(slot);
            self.remove_slot_if_gone(slot);
        }
    }

    /// Removes a server that is not serving and has no attempts in flight.
    pub fn remove_if_gone(&mut self, id: UpstreamId) {
        if let Some(slot) = self.slot(id) {
            self.remove_slot_if_gone(slot);
        }
    }

    /// Lets reports expire and ejected servers become half-open that are due by `now`.
    pub fn advance(&mut self, now: Millis) {
        let now = Microseconds::from_millis(now);
        while let Some(&(due, slot)) = self.report_expiries.first().filter(|(due, _)| *due < now) {
            self.report_expiries.remove(&(due, slot));
            if let Some(Some(entry)) = self.entries.get_mut(slot) {
                entry.report_expires_at = None;
                // A newer report is still valid; `refresh` then enters its own expiry.
                entry.server.has_valid_report &=
                    Microseconds::from_millis(entry.server.report_valid_until) >= now;
            }
            self.refresh(slot);
        }
        while let Some(&(due, slot)) = self.half_open_times.first().filter(|(due, _)| *due <= now) {
            self.half_open_times.remove(&(due, slot));
            if let Some(Some(entry)) = self.entries.get_mut(slot) {
                entry.half_open_at = None;
                entry.server.is_half_open = true;
            }
            self.refresh(slot);
        }
    }

    fn add(&mut self, listing: &Listing) -> Slot {
        let entry = Entry {
            id: listing.upstream,
            server: Upstream::new(listing),
            position: self.ranking.position(listing.key, listing.weight),
            locality: usize::from(self.home_zone.is_some_and(|home| home != listing.zone)),
            is_member: self.ranking.includes_all(),
            contribution: Contribution::default(),
            placement: None,
            report_expires_at: None,
            half_open_at: None,
            last_list: self.list_count,
        };
        *self.kind_counts.entry(listing.kind).or_default() += 1;
        let slot = self.free_slots.pop().unwrap_or(self.entries.len());
        if slot == self.entries.len() {
            self.entries.push(None);
        }
        self.entries[slot] = Some(entry);
        self.by_id.insert(listing.upstream, slot);
        slot
    }

    fn remove_slot_if_gone(&mut self, slot: Slot) {
        let is_gone = |entry: &Entry| !entry.server.serving && entry.server.outstanding.is_empty();
        let Some(entry) = self.entries[slot].take_if(|entry| is_gone(entry)) else { return };
        // A server that is not serving is in no group, no total and not in `half_open_times`.
        if let Some(due) = entry.report_expires_at {
            self.report_expiries.remove(&(due, slot));
        }
        self.ranked[entry.locality].remove(&(entry.position, slot));
        self.by_id.remove(&entry.id);
        self.decrement_kind(entry.server.kind);
        self.free_slots.push(slot);
    }

    fn decrement_kind(&mut self, kind: KindId) {
        if let Some(count) = self.kind_counts.get_mut(&kind) {
            *count -= 1;
            if *count == 0 {
                self.kind_counts.remove(&kind);
            }
        }
    }

    /// Brings totals, ranking, groups, expiry and half-open times into line with one server.
    fn refresh(&mut self, slot: Slot) {
        let Some(Some(entry)) = self.entries.get_mut(slot) else { return };
        let server = &entry.server;
        let has_valid_report = server.serving && server.has_valid_report;
        let new = Contribution {
            serving: server.serving,
            ejected: server.serving && server.health != Health::Ready,
            has_valid_report,
            failure_rate: if server.serving { server.failure_rate } else { 0.0 },
            log_other_in_flight: if has_valid_report { log_other_in_flight(server) } else { 0.0 },
        };
        let old = std::mem::replace(&mut entry.contribution, new);
        if new.serving {
            self.ranked[entry.locality].insert((entry.position, slot));
        } else {
            self.ranked[entry.locality].remove(&(entry.position, slot));
        }
        self.subset_outdated |= (new.serving, new.ejected) != (old.serving, old.ejected);
        if server.has_valid_report && entry.report_expires_at.is_none() {
            let due = Microseconds::from_millis(server.report_valid_until);
            self.report_expiries.insert((due, slot));
            entry.report_expires_at = Some(due);
        }
        let half_open_at = match server.health {
            Health::Ejected { until, .. } if server.serving && !server.is_half_open => {
                Some(Microseconds::from_millis(until))
            }
            _ => None,
        };
        if entry.half_open_at != half_open_at {
            if let Some(due) = entry.half_open_at {
                self.half_open_times.remove(&(due, slot));
            }
            self.half_open_times.extend(half_open_at.map(|due| (due, slot)));
            entry.half_open_at = half_open_at;
        }
        let is_ready = server.health == Health::Ready || server.is_half_open;
        let (serving, zone, cell, is_member) = (server.serving, server.zone, server.cell, entry.is_member);
        let is_placed = match entry.placement {
            Some(placed) => {
                serving
                    && (placed.zone, placed.cell, placed.is_ready, placed.is_member)
                        == (zone, cell, is_ready, is_member)
            }
            None => !serving,
        };
        if !is_placed {
            self.leave_groups(slot);
            if serving {
                self.enter_groups(slot, zone, cell, is_ready, is_member);
            }
        }
        let recount = |total: &mut usize, old: bool, new: bool| {
            *total = *total + usize::from(new) - usize::from(old);
        };
        recount(&mut self.serving, old.serving, new.serving);
        recount(&mut self.ejected, old.ejected, new.ejected);
        recount(&mut self.reporting, old.has_valid_report, new.has_valid_report);
        self.failure_rate_sum += new.failure_rate - old.failure_rate;
        self.log_other_in_flight_sum += new.log_other_in_flight - old.log_other_in_flight;
        // An empty sum is exactly 0: rounding errors must not accumulate.
        if self.reporting == 0 {
            self.log_other_in_flight_sum = 0.0;
        }
        if self.serving == 0 {
            self.failure_rate_sum = 0.0;
        }
    }

    fn enter_groups(&mut self, slot: Slot, zone: ZoneId, cell: CellId, is_ready: bool, is_member: bool) {
        let mut indices = [0; 5];
        let count = if is_member { indices.len() } else { SCOPES_OF_NON_MEMBERS };
        for (index, scope) in indices.iter_mut().zip(scopes(zone, cell)).take(count) {
            let slots = self.groups.entry(scope).or_default().slots_mut(is_ready);
            slots.push(slot);
            *index = slots.len() - 1;
        }
        if let Some(Some(entry)) = self.entries.get_mut(slot) {
            entry.placement = Some(Placement { indices, zone, cell, is_ready, is_member });
        }
    }

    fn leave_groups(&mut self, slot: Slot) {
        let Some(Some(entry)) = self.entries.get_mut(slot) else { return };
        let Some(placement) = entry.placement.take() else { return };
        let Placement { indices, zone, cell, is_ready, is_member } = placement;
        let count = if is_member { indices.len() } else { SCOPES_OF_NON_MEMBERS };
        for (number, scope) in scopes(zone, cell).into_iter().enumerate().take(count) {
            let Some(group) = self.groups.get_mut(&scope) else { continue };
            let slots = group.slots_mut(is_ready);
            slots.swap_remove(indices[number]);
            // The last server of the group has taken the vacated index.
            let moved = slots.get(indices[number]).copied();
            if group.ready.is_empty() && group.ejected.is_empty() {
                self.groups.remove(&scope);
            }
            let moved = moved.and_then(|moved| self.entries[moved].as_mut()?.placement.as_mut());
            if let Some(placement) = moved {
                placement.indices[number] = indices[number];
            }
        }
    }
}

/// Visits the servers of a scope in random order, each at most once.
pub(crate) struct CandidateSampler {
    scope: CandidateScope,
    include_ejected: bool,
    visited: usize,
    size: usize,
    /// A Fisher-Yates shuffle made step by step: pairs of a position and the index there, where the two
    /// differ.
    displaced: Vec<(usize, usize)>,
}

impl CandidateSampler {
    pub fn new(fleet: &Fleet, scope: CandidateScope, include_ejected: bool) -> CandidateSampler {
        let (ready, all) = fleet.sizes(scope);
        let size = if include_ejected { all } else { ready };
        CandidateSampler { scope, include_ejected, visited: 0, size, displaced: Vec::new() }
    }

    /// The next server, or `None` once all have been visited.
    pub fn next(&mut self, fleet: &mut Fleet, rng: &mut Rand64) -> Option<Slot> {
        if self.visited >= self.size {
            return None;
        }
        fleet.examined_count += 1;
        let drawn = rng.rand_range(self.visited as u64..self.size as u64) as usize;
        let index_at = |at: usize| {
            self.displaced.iter().find(|(position, _)| *position == at).map_or(at, |(_, index)| *index)
        };
        let (index, first_unvisited) = (index_at(drawn), index_at(self.visited));
        match self.displaced.iter_mut().find(|(position, _)| *position == drawn) {
            Some(entry) => entry.1 = first_unvisited,
            None => self.displaced.push((drawn, first_unvisited)),
        }
        self.visited += 1;
        let group = fleet.groups.get(&self.scope)?;
        let ejected =
            || self.include_ejected.then(|| group.ejected.get(index - group.ready.len()).copied()).flatten();
        group.ready.get(index).copied().or_else(ejected)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::state::OutstandingSend;

    fn listing(id: u64, rng: &mut Rand64) -> Listing {
        let lifecycle = if rng.rand_range(0..4) == 0 { Lifecycle::Draining } else { Lifecycle::Serving };
        Listing {
            upstream: UpstreamId(id),
            zone: ZoneId(rng.rand_range(0..3)),
            cell: CellId(rng.rand_range(0..9)),
            kind: KindId(rng.rand_range(0..3)),
            lifecycle,
            weight: 1.0,
            started: (rng.rand_range(0..20) == 0).then(|| rng.rand_float() * 1e4),
            key: id,
        }
    }

    /// Compares all totals and groups with a recount over the servers.
    fn check_totals_and_groups(fleet: &Fleet) {
        let all = || fleet.entries.iter().flatten();
        let serving = || all().filter(|entry| entry.server.serving);
        assert_eq!(fleet.by_id.len(), all().count());
        assert_eq!(fleet.serving, serving().count());
        let is_ejected = |entry: &&Entry| entry.server.health != Health::Ready;
        assert_eq!(fleet.ejected, serving().filter(is_ejected).count());
        let reporting = || serving().filter(|entry| entry.server.has_valid_report);
        assert_eq!(fleet.reporting, reporting().count());
        let log_sum = reporting().map(|entry| log_other_in_flight(&entry.server)).sum::<f64>();
        assert!((fleet.log_other_in_flight_sum - log_sum).abs() < 1e-6);
        let failure_rate_sum = serving().map(|entry| entry.server.failure_rate).sum::<f64>();
        assert!((fleet.failure_rate_sum - failure_rate_sum).abs() < 1e-6);
        assert_eq!(fleet.kind_counts.values().sum::<usize>(), all().count());
        assert_eq!(fleet.sizes(CandidateScope::All).1, serving().count());
        let in_zones: usize = (0..3).map(|zone| fleet.sizes(CandidateScope::Zone(ZoneId(zone))).1).sum();
        let in_cells: usize = (0..9).map(|cell| fleet.sizes(CandidateScope::Cell(CellId(cell))).1).sum();
        assert_eq!((in_zones, in_cells), (serving().count(), serving().count()));
        for (slot, entry) in fleet.entries.iter().enumerate() {
            let Some(entry) = entry.as_ref().filter(|entry| entry.server.serving) else { continue };
            let slots = |group: &Group, is_ready: bool| {
                if is_ready { group.ready.clone() } else { group.ejected.clone() }
            };
            let is_ready = entry.server.health == Health::Ready || entry.server.is_half_open;
            for scope in [
                CandidateScope::All,
                CandidateScope::Zone(entry.server.zone),
                CandidateScope::Cell(entry.server.cell),
            ] {
                let group = &fleet.groups[&scope];
                assert!(slots(group, is_ready).contains(&slot) && !slots(group, !is_ready).contains(&slot));
            }
        }
        assert!(all().all(|entry| entry.server.serving || !entry.server.outstanding.is_empty()));
    }

    /// After an update of the subset: there are members if any server serves, only serving servers are
    /// members, and the number of ready ones is within its bounds.
    fn check_members(fleet: &Fleet, target: usize, now: Millis) {
        let serving = || fleet.entries.iter().flatten().filter(|entry| entry.server.serving);
        let members: Vec<&Entry> = serving().filter(|entry| entry.is_member).collect();
        assert_eq!(fleet.sizes(CandidateScope::Members).1, members.len());
        assert!(members.is_empty() == (serving().count() == 0), "no members although servers serve");
        let is_ready =
            |entry: &&&Entry| entry.server.health == Health::Ready && entry.server.started.is_none();
        let ready = members.iter().filter(is_ready).count();
        let all_ready = serving().filter(|entry| is_ready(&entry)).count();
        let cross_zone = if fleet.home_zone.is_some() { target.max(2) } else { 0 };
        assert!(ready <= target + cross_zone, "{ready} ready members, target {target}");
        assert!(
            ready >= target.min(all_ready).min(MIN_MEMBERS),
            "{ready} of {all_ready} ready servers are members, target {target}, at {now} ms"
        );
    }

    #[test]
    fn totals_groups_and_members_match_a_recount_after_random_operations() {
        for (identity, home_zone) in [
            (Identity::Anonymous, None),
            (Identity::Ranked { rank: 4, count: 9 }, None),
            (Identity::Named(77), Some(ZoneId(1))),
        ] {
            check_random_operations(identity, home_zone);
        }
    }

    fn check_random_operations(identity: Identity, home_zone: Option<ZoneId>) {
        let mut rng = Rand64::new(3);
        let ranking = ServerRanking::new(identity);
        let (mut fleet, mut now, mut number) = (Fleet::new(ranking, home_zone), 0.0, 0);
        for round in 0..20_000 {
            now += rng.rand_float() * 40.0;
            fleet.advance(now);
            let id = UpstreamId(rng.rand_range(0..40));
            match rng.rand_range(0..10) {
                0 | 1 => fleet.apply_listing(&listing(id.0, &mut rng)),
                2 if rng.rand_range(0..10) == 0 => {
                    fleet.begin_complete_list();
                    (0..rng.rand_range(0..40)).for_each(|id| fleet.apply_listing(&listing(id, &mut rng)));
                    fleet.end_complete_list();
                }
                3 | 4 => {
                    number += 1;
                    let sent =
                        OutstandingSend { class: ClassId(0), sent: now, depth: 1.0, expected_latency: 1.0 };
                    let serving = fleet.get(id).is_some_and(|server| server.serving);
                    if serving {
                        fleet.update(id, |server| server.add_send(number, sent));
                    }
                }
                5 | 6 => {
                    fleet.update(id, |server| {
                        let oldest = server.outstanding.oldest().map(|(number, _)| number);
                        oldest.and_then(|number| server.remove_send(number))
                    });
                    fleet.remove_if_gone(id);
                }
                7 => {
                    let (in_flight, unreported) = (rng.rand_float() * 20.0, (number + 1, 0));
                    fleet.update(id, |server| server.record_report(in_flight, now, now + 300.0, unreported));
                }
                8 => {
                    let until = now + rng.rand_float() * 500.0;
                    fleet.update(id, |server| {
                        (server.health, server.is_half_open) = (Health::Ejected { until, wait: 1.0 }, false);
                        server.failure_rate += 0.3 * (1.0 - server.failure_rate);
                    });
                }
                _ => {
                    fleet.update(id, |server| {
                        (server.health, server.is_half_open) = (Health::Ready, false);
                        server.failure_rate *= 0.5;
                    });
                }
            }
            if round % 7 == 0 {
                check_totals_and_groups(&fleet);
            }
            if round % 5 == 0 && !ranking.includes_all() {
                let target = rng.rand_range(1..30) as usize;
                let status = |_, server: &Upstream| match server.started {
                    Some(_) => SubsetStatus::WarmingUp { owned: ranking.is_owner(3, 9, server.key) },
                    None => SubsetStatus::WarmedUp,
                };
                fleet.update_subset(target, now, status);
                assert!(fleet.is_subset_current(target, now));
                check_members(&fleet, target, now);
                check_totals_and_groups(&fleet);
            }
        }
        assert!(fleet.serving > 0, "the operations left no serving server");
    }

    #[test]
    fn sampler_visits_each_ready_server_once_and_starts_with_each_equally_often() {
        let mut rng = Rand64::new(5);
        let mut fleet = Fleet::new(ServerRanking::new(Identity::Anonymous), None);
        for id in 0..4 {
            fleet.apply_listing(&Listing {
                lifecycle: Lifecycle::Serving,
                started: None,
                ..listing(id, &mut rng)
            });
        }
        fleet.update(UpstreamId(3), |server| server.health = Health::Ejected { until: 1e9, wait: 1.0 });
        let mut first_counts = [0; 4];
        for _ in 0..9_000 {
            let mut sampler = CandidateSampler::new(&fleet, CandidateScope::All, false);
            let mut visited = Vec::new();
            while let Some(slot) = sampler.next(&mut fleet, &mut rng) {
                visited.push(slot);
            }
            first_counts[visited[0]] += 1;
            visited.sort_unstable();
            assert_eq!(visited, [0, 1, 2], "the ejected server is not visited");
        }
        assert!(first_counts[..3].iter().all(|count| (2_800..3_200).contains(count)), "{first_counts:?}");
        let mut sampler = CandidateSampler::new(&fleet, CandidateScope::All, true);
        assert_eq!(std::iter::from_fn(|| sampler.next(&mut fleet, &mut rng)).count(), 4);
    }
}
