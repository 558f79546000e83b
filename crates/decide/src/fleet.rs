//! The servers by id, and what the module needs of all of them: who may be drawn, by zone and by cell, who is a member of
//! this sidecar's subset, and sums. All of it is kept as servers change, so that nothing asked here costs more where there
//! are more of them; only members are told anew by a walk over all, when a server or the size has changed.

use std::collections::{BTreeMap, BTreeSet};

use oorandom::Rand64;
use rustc_hash::FxHashMap;

use crate::api::*;
use crate::observed_capacity::WarmServers;
use crate::state::{FleetMeans, Health, Upstream};
use crate::subset::ServerRanking;

/// A server's place in memory while it is known.
pub(crate) type Slot = usize;

/// Whom a request may go to, by what may have run already.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum CandidateScope {
    All,
    Zone(ZoneId),
    Cell(CellId),
    /// The members of the subset, and those of them in a zone.
    Members,
    MembersInZone(ZoneId),
}

impl CandidateScope {
    /// What of it is in the subset. A cell is few servers, that hold what others do not.
    pub fn within_subset(self) -> CandidateScope {
        match self {
            CandidateScope::All => CandidateScope::Members,
            CandidateScope::Zone(zone) => CandidateScope::MembersInZone(zone),
            CandidateScope::Cell(_) | CandidateScope::Members | CandidateScope::MembersInZone(_) => self,
        }
    }
}

/// The groups that a server can stand in.
fn groups(zone: ZoneId, cell: CellId) -> [CandidateScope; 5] {
    [
        CandidateScope::All,
        CandidateScope::Zone(zone),
        CandidateScope::Cell(cell),
        CandidateScope::Members,
        CandidateScope::MembersInZone(zone),
    ]
}

/// So many of them hold servers that are no members, too.
const OF_ALL: usize = 3;
/// While servers warm up, what a cold one may be sent and by whom is looked at this often.
const REVIEW: Millis = 250.0;
/// Where crossing costs, this share of the size is known of other zones.
const ACROSS: f64 = 0.5;
/// No size leaves fewer members than two to draw from, where there are two.
const PAIR: usize = 2;

/// Who is a member while it warms up: how a server stands for this sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WarmUpStatus {
    /// It takes what it is sent.
    WarmedUp,
    /// Its zone is out.
    ZoneUnreachable,
    /// It is cold, and of its allowance a part is ours, or none.
    WarmingUp { owned: bool },
}

/// Servers that can be drawn from, in no order: those that take part, and those that are ejected.
#[derive(Debug, Default)]
struct Group {
    ready: Vec<Slot>,
    out: Vec<Slot>,
}

impl Group {
    fn side(&mut self, ready: bool) -> &mut Vec<Slot> {
        if ready { &mut self.ready } else { &mut self.out }
    }
}

/// What one server adds to the sums.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Part {
    serving: bool,
    ejected: bool,
    heard: bool,
    failure_rate: f64,
    others: f64,
}

#[derive(Debug)]
struct Entry {
    id: UpstreamId,
    server: Upstream,
    /// How early it is taken into the subset, on which side, and whether it is.
    depth: u64,
    side: usize,
    member: bool,
    part: Part,
    /// Where it stands in the groups of all, of its zone and of its cell, and on which side; `None` if in none.
    places: Option<Places>,
    /// When it is to be looked whether its last report still counts, and when it may be tried again, as they stand in
    /// the calendars.
    heard_until: Option<Microseconds>,
    trial_at: Option<Microseconds>,
    /// The last complete list that named it.
    list: u64,
}

#[derive(Debug, Clone, Copy)]
struct Places {
    at: [usize; 5],
    zone: ZoneId,
    cell: CellId,
    ready: bool,
    member: bool,
}

/// A time that can be ordered: microseconds.
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

/// What a server holds of others, as its logarithm: who hears of a few servers, one of them in a jam, would take all others
/// for jammed by the plain mean, and refuse what they have room for.
fn others(server: &Upstream) -> f64 {
    (server.reported_in_flight - server.outstanding.len() as f64).max(0.0).ln_1p()
}

/// All known servers.
#[derive(Debug)]
pub(crate) struct Fleet {
    order: ServerRanking,
    /// The zone that is cheap to reach, where it matters.
    home: Option<ZoneId>,
    /// Those that serve, in the order in which they are taken in: at home, and elsewhere.
    sides: [BTreeSet<(u64, Slot)>; 2],
    /// For which size members were told last, when they have to be again at the latest, and whether at once.
    told_for: usize,
    review_at: Millis,
    changed: bool,
    entries: Vec<Option<Entry>>,
    free: Vec<Slot>,
    /// Never walked, so that the order of a hash decides nothing. Ids are the caller's own numbers, not outsiders'.
    by_id: FxHashMap<UpstreamId, Slot>,
    groups: FxHashMap<CandidateScope, Group>,
    heard_until: BTreeSet<(Microseconds, Slot)>,
    trials: BTreeSet<(Microseconds, Slot)>,
    serving: usize,
    ejected: usize,
    heard: usize,
    failure_rates: f64,
    others: f64,
    /// By kind of machine, how many there are.
    kinds: BTreeMap<KindId, usize>,
    lists: u64,
    /// What the looks at servers have cost so far, for the guard of the scaling.
    pub examined_count: u64,
}

impl Fleet {
    /// No server is known yet. Where crossing has a fee, most members are of the zone that is home.
    pub fn new(order: ServerRanking, home: Option<ZoneId>) -> Fleet {
        Fleet {
            order,
            home,
            sides: Default::default(),
            told_for: 0,
            review_at: f64::INFINITY,
            changed: false,
            entries: Vec::new(),
            free: Vec::new(),
            by_id: FxHashMap::default(),
            groups: FxHashMap::default(),
            heard_until: BTreeSet::new(),
            trials: BTreeSet::new(),
            serving: 0,
            ejected: 0,
            heard: 0,
            failure_rates: 0.0,
            others: 0.0,
            kinds: BTreeMap::new(),
            lists: 0,
            examined_count: 0,
        }
    }

    /// Whether members have to be told anew, if so many are wanted.
    pub fn is_subset_current(&self, wanted: usize, now: Millis) -> bool {
        self.order.includes_all() || !(self.changed || wanted != self.told_for || now >= self.review_at)
    }

    /// Tells the members anew: of those that can take what they are sent, as many as are wanted, in their order; those
    /// before them that are ejected; and the cold ones of which a part is ours. One that leaves is no member, and none that
    /// others would do in place of is counted, so that what happens to members brings in others.
    pub fn update_subset(
        &mut self,
        wanted: usize,
        now: Millis,
        standing: impl Fn(UpstreamId, &Upstream) -> WarmUpStatus,
    ) {
        (self.changed, self.told_for, self.review_at) = (false, wanted, f64::INFINITY);
        // What there is too little of at home is made up for elsewhere.
        let mut short = 0;
        let across = if self.home.is_some() { (ACROSS * wanted as f64).ceil() as usize } else { 0 };
        for (side, wanted) in [wanted, across].into_iter().enumerate() {
            let wanted = if side == 0 || self.home.is_none() { wanted } else { wanted.max(short) };
            let order = std::mem::take(&mut self.sides[side]);
            let (mut left, mut cold) = (wanted, Vec::new());
            for &(_, slot) in &order {
                let Some(entry) = self.entries.get_mut(slot).and_then(Option::as_mut) else { continue };
                let member = match standing(entry.id, &entry.server) {
                    WarmUpStatus::WarmingUp { owned } => {
                        self.review_at = now + REVIEW;
                        cold.push(slot);
                        owned
                    }
                    WarmUpStatus::ZoneUnreachable => left > 0,
                    WarmUpStatus::WarmedUp => {
                        let before = left > 0;
                        left -= usize::from(before && entry.server.health == Health::Ready);
                        before
                    }
                };
                if member != entry.member {
                    entry.member = member;
                    self.refresh(slot);
                }
            }
            short = left;
            // Where hardly anything is warm somebody has to know what has just started.
            let few = wanted.min(PAIR).saturating_sub(wanted - left);
            for slot in cold.into_iter().take(few) {
                if let Some(entry) = self.entries[slot].as_mut() {
                    entry.member = true;
                }
                self.refresh(slot);
            }
            self.sides[side] = order;
        }
        self.changed = false;
    }

    /// How servers stand has changed: members have to be told anew.
    pub fn invalidate_subset(&mut self) {
        self.changed = true;
    }

    /// Whether this sidecar knows a server now.
    pub fn is_member(&self, id: UpstreamId) -> bool {
        self.slot(id).and_then(|slot| self.entries[slot].as_ref()).is_some_and(|entry| entry.member)
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

    /// All of them, in no order that means anything.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamId, &Upstream)> {
        self.entries.iter().flatten().map(|entry| (entry.id, &entry.server))
    }

    /// Changes a server, and then everything that is kept of it.
    pub fn update<T>(&mut self, id: UpstreamId, how: impl FnOnce(&mut Upstream) -> T) -> Option<T> {
        let slot = self.slot(id)?;
        let changed = how(&mut self.entries[slot].as_mut()?.server);
        self.refresh(slot);
        Some(changed)
    }

    /// Servers that are listed as serving.
    pub fn serving_count(&self) -> usize {
        self.serving
    }

    pub fn ejected_count(&self) -> usize {
        self.ejected
    }

    /// The mean failure rate of those that serve.
    pub fn mean_failure_rate(&self) -> f64 {
        if self.serving > 0 { (self.failure_rates / self.serving as f64).max(0.0) } else { 0.0 }
    }

    /// Means over those that were heard of late: geometric, so that they tell what a server is likely to hold.
    pub fn means(&self) -> FleetMeans {
        let mean = if self.heard > 0 { self.others / self.heard as f64 } else { 0.0 };
        FleetMeans { in_flight: mean.max(0.0).exp_m1() }
    }

    /// How many servers of a kind this sidecar hears from, as far as members are spread as all are.
    pub fn members_of(&self, kind: KindId) -> f64 {
        let of_kind = self.kinds.get(&kind).copied().unwrap_or(0) as f64;
        let members = self.sizes(CandidateScope::Members).1 as f64;
        (of_kind * members / self.serving.max(1) as f64).max(1.0)
    }

    pub fn has_kind(&self, kind: KindId) -> bool {
        self.kinds.contains_key(&kind)
    }

    /// All servers that take part and have warmed up, members or not.
    pub fn warm_servers(&self, now: Millis, safety: &SlowStartLimits) -> WarmServers {
        let serving = self.entries.iter().flatten().filter(|entry| entry.server.serving);
        let ready = serving.filter(|entry| entry.server.health == Health::Ready);
        let warm = ready.filter(|entry| entry.server.warmth(now, safety) >= 1.0);
        let (mut weight, mut reports, mut utilisations) = (0.0, 0.0, 0.0);
        for entry in warm {
            weight += entry.server.weight;
            if let Some(utilisation) = entry.server.utilisation.filter(|_| entry.server.has_valid_report) {
                reports += 1.0;
                utilisations += utilisation;
            }
        }
        WarmServers { weight, utilisation: if reports > 0.0 { utilisations / reports } else { 1.0 } }
    }

    /// How many can be drawn from within a reach: that take part, and in all.
    pub fn sizes(&self, reach: CandidateScope) -> (usize, usize) {
        let group = self.groups.get(&reach);
        group.map_or((0, 0), |group| (group.ready.len(), group.ready.len() + group.out.len()))
    }

    /// Takes in what discovery says of a server.
    pub fn apply_listing(&mut self, listing: &Listing) {
        let slot = match self.slot(listing.upstream) {
            Some(slot) => slot,
            None if listing.lifecycle != Lifecycle::Serving => return,
            None => self.add(listing),
        };
        let side = usize::from(self.home.is_some_and(|home| home != listing.zone));
        let Some(entry) = self.entries[slot].as_mut() else { return };
        entry.list = self.lists;
        let before = entry.server.kind;
        self.changed |= entry.server.started != listing.started;
        entry.server.relist(listing);
        if entry.side != side {
            self.sides[entry.side].remove(&(entry.depth, slot));
            entry.side = side;
        }
        if before != listing.kind {
            self.uncount(before);
            *self.kinds.entry(listing.kind).or_default() += 1;
        }
        self.refresh(slot);
        self.forget(slot);
    }

    /// A complete list begins.
    pub fn begin_complete_list(&mut self) {
        self.lists += 1;
    }

    /// It has ended: who was missing from it is gone.
    pub fn end_complete_list(&mut self) {
        for slot in 0..self.entries.len() {
            let lists = self.lists;
            let Some(entry) = self.entries[slot].as_mut().filter(|entry| entry.list < lists) else {
                continue;
            };
            entry.server.serving = false;
            self.refresh(slot);
            self.forget(slot);
        }
    }

    /// Forgets a server that is gone once nothing is out on it.
    pub fn remove_if_gone(&mut self, id: UpstreamId) {
        if let Some(slot) = self.slot(id) {
            self.forget(slot);
        }
    }

    /// Lets time pass: old reports count no more, and ejected servers may be tried again.
    pub fn advance(&mut self, now: Millis) {
        let now = Microseconds::from_millis(now);
        while let Some(&(due, slot)) = self.heard_until.first().filter(|(due, _)| *due < now) {
            self.heard_until.remove(&(due, slot));
            if let Some(Some(entry)) = self.entries.get_mut(slot) {
                entry.heard_until = None;
                // One that has been heard again meanwhile gets a new entry.
                entry.server.has_valid_report &=
                    Microseconds::from_millis(entry.server.report_valid_until) >= now;
            }
            self.refresh(slot);
        }
        while let Some(&(due, slot)) = self.trials.first().filter(|(due, _)| *due <= now) {
            self.trials.remove(&(due, slot));
            if let Some(Some(entry)) = self.entries.get_mut(slot) {
                entry.trial_at = None;
                entry.server.is_half_open = true;
            }
            self.refresh(slot);
        }
    }

    fn add(&mut self, listing: &Listing) -> Slot {
        let entry = Entry {
            id: listing.upstream,
            server: Upstream::new(listing),
            depth: self.order.position(listing.key, listing.weight),
            side: usize::from(self.home.is_some_and(|home| home != listing.zone)),
            member: self.order.includes_all(),
            part: Part::default(),
            places: None,
            heard_until: None,
            trial_at: None,
            list: self.lists,
        };
        *self.kinds.entry(listing.kind).or_default() += 1;
        let slot = self.free.pop().unwrap_or(self.entries.len());
        if slot == self.entries.len() {
            self.entries.push(None);
        }
        self.entries[slot] = Some(entry);
        self.by_id.insert(listing.upstream, slot);
        slot
    }

    fn forget(&mut self, slot: Slot) {
        let gone = |entry: &Entry| !entry.server.serving && entry.server.outstanding.is_empty();
        let Some(entry) = self.entries[slot].take_if(|entry| gone(entry)) else { return };
        // One that does not serve is in no group, adds nothing and has no trial; its report may still be in time.
        if let Some(due) = entry.heard_until {
            self.heard_until.remove(&(due, slot));
        }
        self.sides[entry.side].remove(&(entry.depth, slot));
        self.by_id.remove(&entry.id);
        self.uncount(entry.server.kind);
        self.free.push(slot);
    }

    fn uncount(&mut self, kind: KindId) {
        if let Some(count) = self.kinds.get_mut(&kind) {
            *count -= 1;
            if *count == 0 {
                self.kinds.remove(&kind);
            }
        }
    }

    /// Brings sums, groups and calendars into line with one server.
    fn refresh(&mut self, slot: Slot) {
        let Some(Some(entry)) = self.entries.get_mut(slot) else { return };
        let server = &entry.server;
        let heard = server.serving && server.has_valid_report;
        let part = Part {
            serving: server.serving,
            ejected: server.serving && server.health != Health::Ready,
            heard,
            failure_rate: if server.serving { server.failure_rate } else { 0.0 },
            others: if heard { others(server) } else { 0.0 },
        };
        let old = std::mem::replace(&mut entry.part, part);
        if part.serving {
            self.sides[entry.side].insert((entry.depth, slot));
        } else {
            self.sides[entry.side].remove(&(entry.depth, slot));
        }
        self.changed |= (part.serving, part.ejected) != (old.serving, old.ejected);
        if server.has_valid_report && entry.heard_until.is_none() {
            let due = Microseconds::from_millis(server.report_valid_until);
            self.heard_until.insert((due, slot));
            entry.heard_until = Some(due);
        }
        let trial_at = match server.health {
            Health::Ejected { until, .. } if server.serving && !server.is_half_open => {
                Some(Microseconds::from_millis(until))
            }
            _ => None,
        };
        if entry.trial_at != trial_at {
            if let Some(due) = entry.trial_at {
                self.trials.remove(&(due, slot));
            }
            self.trials.extend(trial_at.map(|due| (due, slot)));
            entry.trial_at = trial_at;
        }
        let ready = server.health == Health::Ready || server.is_half_open;
        let (wanted, zone, cell, member) = (server.serving, server.zone, server.cell, entry.member);
        let in_place = match entry.places {
            Some(Places { zone: z, cell: c, ready: r, member: m, .. }) => {
                wanted && (z, c, r, m) == (zone, cell, ready, member)
            }
            None => !wanted,
        };
        if !in_place {
            self.leave(slot);
            if wanted {
                self.enter(slot, zone, cell, ready, member);
            }
        }
        let count = |sum: &mut usize, old: bool, new: bool| {
            *sum = *sum + usize::from(new) - usize::from(old);
        };
        count(&mut self.serving, old.serving, part.serving);
        count(&mut self.ejected, old.ejected, part.ejected);
        count(&mut self.heard, old.heard, part.heard);
        self.failure_rates += part.failure_rate - old.failure_rate;
        self.others += part.others - old.others;
        // Nothing adds up to nothing, whatever rounding has left.
        if self.heard == 0 {
            self.others = 0.0;
        }
        if self.serving == 0 {
            self.failure_rates = 0.0;
        }
    }

    fn enter(&mut self, slot: Slot, zone: ZoneId, cell: CellId, ready: bool, member: bool) {
        let mut at = [0; 5];
        let count = if member { at.len() } else { OF_ALL };
        for (place, reach) in at.iter_mut().zip(groups(zone, cell)).take(count) {
            let side = self.groups.entry(reach).or_default().side(ready);
            side.push(slot);
            *place = side.len() - 1;
        }
        if let Some(Some(entry)) = self.entries.get_mut(slot) {
            entry.places = Some(Places { at, zone, cell, ready, member });
        }
    }

    fn leave(&mut self, slot: Slot) {
        let Some(Some(entry)) = self.entries.get_mut(slot) else { return };
        let Some(Places { at, zone, cell, ready, member }) = entry.places.take() else { return };
        let count = if member { at.len() } else { OF_ALL };
        for (number, reach) in groups(zone, cell).into_iter().enumerate().take(count) {
            let Some(group) = self.groups.get_mut(&reach) else { continue };
            let side = group.side(ready);
            side.swap_remove(at[number]);
            let moved = side.get(at[number]).copied();
            if group.ready.is_empty() && group.out.is_empty() {
                self.groups.remove(&reach);
            }
            let moved = moved.and_then(|moved| self.entries[moved].as_mut()?.places.as_mut());
            if let Some(places) = moved {
                places.at[number] = at[number];
            }
        }
    }
}

/// Looks at the members of a group in random order, each at most once.
pub(crate) struct CandidateSampler {
    reach: CandidateScope,
    /// Whether at the ejected as well.
    all: bool,
    next: usize,
    size: usize,
    /// A shuffle that is made as it is looked at: what stands where not the member of that number does.
    moved: Vec<(usize, usize)>,
}

impl CandidateSampler {
    /// At so many at most.
    pub fn new(fleet: &Fleet, reach: CandidateScope, all: bool) -> CandidateSampler {
        let (ready, both) = fleet.sizes(reach);
        CandidateSampler { reach, all, next: 0, size: if all { both } else { ready }, moved: Vec::new() }
    }

    /// The next member.
    pub fn next(&mut self, fleet: &mut Fleet, rng: &mut Rand64) -> Option<Slot> {
        if self.next >= self.size {
            return None;
        }
        fleet.examined_count += 1;
        let drawn = rng.rand_range(self.next as u64..self.size as u64) as usize;
        let stands =
            |at: usize| self.moved.iter().find(|(place, _)| *place == at).map_or(at, |(_, who)| *who);
        let (who, here) = (stands(drawn), stands(self.next));
        match self.moved.iter_mut().find(|(place, _)| *place == drawn) {
            Some(entry) => entry.1 = here,
            None => self.moved.push((drawn, here)),
        }
        self.next += 1;
        let group = fleet.groups.get(&self.reach)?;
        let out = || self.all.then(|| group.out.get(who - group.ready.len()).copied()).flatten();
        group.ready.get(who).copied().or_else(out)
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

    /// Everything that is kept, told from the servers themselves.
    fn check(fleet: &Fleet) {
        let all = || fleet.entries.iter().flatten();
        let serving = || all().filter(|entry| entry.server.serving);
        assert_eq!(fleet.by_id.len(), all().count());
        assert_eq!(fleet.serving, serving().count());
        let out = |entry: &&Entry| entry.server.health != Health::Ready;
        assert_eq!(fleet.ejected, serving().filter(out).count());
        let heard = || serving().filter(|entry| entry.server.has_valid_report);
        assert_eq!(fleet.heard, heard().count());
        assert!((fleet.others - heard().map(|entry| others(&entry.server)).sum::<f64>()).abs() < 1e-6);
        assert!((fleet.failure_rates - serving().map(|e| e.server.failure_rate).sum::<f64>()).abs() < 1e-6);
        assert_eq!(fleet.kinds.values().sum::<usize>(), all().count());
        assert_eq!(fleet.sizes(CandidateScope::All).1, serving().count());
        let zones: usize = (0..3).map(|zone| fleet.sizes(CandidateScope::Zone(ZoneId(zone))).1).sum();
        let cells: usize = (0..9).map(|cell| fleet.sizes(CandidateScope::Cell(CellId(cell))).1).sum();
        assert_eq!((zones, cells), (serving().count(), serving().count()));
        for (slot, entry) in fleet.entries.iter().enumerate() {
            let Some(entry) = entry.as_ref().filter(|entry| entry.server.serving) else { continue };
            let side =
                |group: &Group, ready: bool| if ready { group.ready.clone() } else { group.out.clone() };
            let ready = entry.server.health == Health::Ready || entry.server.is_half_open;
            for reach in [
                CandidateScope::All,
                CandidateScope::Zone(entry.server.zone),
                CandidateScope::Cell(entry.server.cell),
            ] {
                let group = &fleet.groups[&reach];
                assert!(side(group, ready).contains(&slot) && !side(group, !ready).contains(&slot));
            }
        }
        assert!(all().all(|entry| entry.server.serving || !entry.server.outstanding.is_empty()));
    }

    /// Members after they were told for so many: some while any serves, no more than may be, and only those that serve.
    fn check_members(fleet: &Fleet, wanted: usize, now: Millis) {
        let serving = || fleet.entries.iter().flatten().filter(|entry| entry.server.serving);
        let members: Vec<&Entry> = serving().filter(|entry| entry.member).collect();
        assert_eq!(fleet.sizes(CandidateScope::Members).1, members.len());
        assert!(members.is_empty() == (serving().count() == 0), "empty while anything is there");
        let ready = |entry: &&&Entry| entry.server.health == Health::Ready && entry.server.started.is_none();
        let (ready, all_ready) =
            (members.iter().filter(ready).count(), serving().filter(|e| ready(&e)).count());
        let across = if fleet.home.is_some() { wanted.max(2) } else { 0 };
        assert!(ready <= wanted + across, "{ready} ready ones of {wanted}");
        assert!(
            ready >= wanted.min(all_ready).min(PAIR),
            "{ready} of {all_ready} ready ones, {wanted} wanted at {now}"
        );
    }

    #[test]
    fn what_is_kept_is_what_a_walk_would_tell() {
        for (identity, home) in [
            (Identity::Anonymous, None),
            (Identity::Ranked { rank: 4, count: 9 }, None),
            (Identity::Named(77), Some(ZoneId(1))),
        ] {
            walk(identity, home);
        }
    }

    fn walk(identity: Identity, home: Option<ZoneId>) {
        let mut rng = Rand64::new(3);
        let order = ServerRanking::new(identity);
        let (mut fleet, mut now, mut number) = (Fleet::new(order, home), 0.0, 0);
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
                    let sent = OutstandingSend { class: ClassId(0), sent: now, depth: 1.0, wait: 1.0 };
                    let serving = fleet.get(id).is_some_and(|server| server.serving);
                    if serving {
                        fleet.update(id, |server| server.enter(number, sent));
                    }
                }
                5 | 6 => {
                    fleet.update(id, |server| {
                        let oldest = server.outstanding.oldest().map(|(number, _)| number);
                        oldest.and_then(|number| server.take(number))
                    });
                    fleet.remove_if_gone(id);
                }
                7 => {
                    let (in_flight, unheard) = (rng.rand_float() * 20.0, (number + 1, 0));
                    fleet.update(id, |server| server.reports(in_flight, now, now + 300.0, unheard));
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
                check(&fleet);
            }
            if round % 5 == 0 && !order.includes_all() {
                let wanted = rng.rand_range(1..30) as usize;
                let standing = |_, server: &Upstream| match server.started {
                    Some(_) => WarmUpStatus::WarmingUp { owned: order.is_owner(3, 9, server.key) },
                    None => WarmUpStatus::WarmedUp,
                };
                fleet.update_subset(wanted, now, standing);
                assert!(fleet.is_subset_current(wanted, now));
                check_members(&fleet, wanted, now);
                check(&fleet);
            }
        }
        assert!(fleet.serving > 0, "the walk has something to tell");
    }

    #[test]
    fn looks_meet_each_member_once_and_all_orders_alike() {
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
        let mut first = [0; 4];
        for _ in 0..9_000 {
            let mut looks = CandidateSampler::new(&fleet, CandidateScope::All, false);
            let mut met = Vec::new();
            while let Some(slot) = looks.next(&mut fleet, &mut rng) {
                met.push(slot);
            }
            first[met[0]] += 1;
            met.sort_unstable();
            assert_eq!(met, [0, 1, 2], "the ejected one is not met");
        }
        assert!(first[..3].iter().all(|count| (2_800..3_200).contains(count)), "{first:?}");
        let mut looks = CandidateSampler::new(&fleet, CandidateScope::All, true);
        assert_eq!(std::iter::from_fn(|| looks.next(&mut fleet, &mut rng)).count(), 4);
    }
}
