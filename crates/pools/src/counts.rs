//! Counts of attempts, by class and destination zone, with the reasons of those that left the zone although
//! no budget paid for them. A table of counts outlives the budgets that write to it, and may be read from any
//! thread at any time.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use sagemast_decide::api::{ClassId, ZoneId};
use sagemast_decide::cross_zone::BudgetExemption;
use serde::{Deserialize, Serialize};

use crate::cross_zone_budget::MAX_BUDGETS;

/// The name under which zones that the settings don't name are counted together.
pub const UNNAMED_ZONES: &str = "elsewhere";

/// The counters that are kept for each class and destination zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Counter {
    /// First attempts of requests.
    First,
    /// Retries of requests.
    Retry,
    /// Attempts that left the zone although no budget paid for them, for this reason.
    Exempted(BudgetExemption),
    /// Attempts that were not sent, for example since no connection could be established.
    Unsent,
    /// Attempts that were served.
    Served,
    /// Attempts that were sent and not served.
    Failed,
    /// Bytes of request bodies.
    BytesOut,
    /// Bytes of answer bodies.
    BytesIn,
}

/// 7 counters and those of the 5 exemption reasons.
const COUNTERS: usize = 12;

impl Counter {
    /// Position in a row of [`Counts`]. [`Counts::totals`] destructures rows in this order.
    fn index(self) -> usize {
        match self {
            Counter::First => 0,
            Counter::Retry => 1,
            Counter::Unsent => 2,
            Counter::Served => 3,
            Counter::Failed => 4,
            Counter::BytesOut => 5,
            Counter::BytesIn => 6,
            Counter::Exempted(BudgetExemption::Down) => 7,
            Counter::Exempted(BudgetExemption::Full) => 8,
            Counter::Exempted(BudgetExemption::Late) => 9,
            Counter::Exempted(BudgetExemption::Failing) => 10,
            Counter::Exempted(BudgetExemption::Bound) => 11,
        }
    }
}

/// The names that counts are kept under. The size of a table depends only on the number of names, which the
/// settings limit.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Names {
    /// Names of classes, by id.
    pub classes: Vec<String>,
    /// Names of zones, by id.
    pub zones: Vec<String>,
    /// The index in `zones` of the counted instance's own zone.
    pub local_zone: usize,
}

/// The counts of one instance since the table was created.
#[derive(Debug)]
pub struct Counts {
    names: Names,
    /// Values of [`Counter`], by class, then destination zone.
    counters: Vec<[AtomicU64; COUNTERS]>,
    /// Numbers of probes, by destination zone.
    probes: Vec<AtomicU64>,
    /// The tokens in the bucket of each budget (level) and the most that it holds (burst) at the last
    /// attempt, as the bits of floating-point numbers.
    budget_levels: [[AtomicU64; 2]; MAX_BUDGETS],
    /// The number of budgets that have a level.
    budget_count: AtomicUsize,
}

impl Counts {
    /// A table of zeros.
    pub fn new(names: Names) -> Counts {
        // One more, for the zones without a name.
        let zones = names.zones.len() + 1;
        let counters = (0..names.classes.len() * zones).map(|_| Default::default()).collect();
        let probes = (0..zones).map(|_| AtomicU64::new(0)).collect();
        Counts {
            names,
            counters,
            probes,
            budget_levels: Default::default(),
            budget_count: AtomicUsize::new(0),
        }
    }

    /// The names that counts are kept under.
    pub fn names(&self) -> &Names {
        &self.names
    }

    /// The index of a zone. Zones without a name share the index after the last named zone.
    fn zone_index(&self, zone: ZoneId) -> usize {
        usize::try_from(zone.0).unwrap_or(usize::MAX).min(self.names.zones.len())
    }

    /// Increases a counter. Attempts of a class without a name are not counted.
    pub fn add(&self, class: ClassId, to: ZoneId, counter: Counter, increment: u64) {
        let index = class.0 * self.probes.len() + self.zone_index(to);
        if let Some(row) = self.counters.get(index) {
            row[counter.index()].fetch_add(increment, Ordering::Relaxed);
        }
    }

    /// Counts a probe.
    pub fn add_probe(&self, to: ZoneId) {
        self.probes[self.zone_index(to)].fetch_add(1, Ordering::Relaxed);
    }

    /// Sets the level and the burst of each budget, in the order of the budgets in the rules.
    pub fn set_budget_levels(&self, levels: impl Iterator<Item = (f64, f64)>) {
        let mut count = 0;
        for (stored, (level, burst)) in self.budget_levels.iter().zip(levels) {
            stored[0].store(level.to_bits(), Ordering::Relaxed);
            stored[1].store(burst.to_bits(), Ordering::Relaxed);
            count += 1;
        }
        self.budget_count.store(count, Ordering::Release);
    }

    /// The level and the burst of each budget at the last attempt, in the order of the budgets in the rules.
    pub fn budget_levels(&self) -> Vec<(f64, f64)> {
        let number = |bits: &AtomicU64| f64::from_bits(bits.load(Ordering::Relaxed));
        let count = self.budget_count.load(Ordering::Acquire);
        self.budget_levels.iter().take(count).map(|[level, burst]| (number(level), number(burst))).collect()
    }

    /// The present counts, without rows of zeros.
    pub fn totals(&self) -> Totals {
        let zone_name =
            |zone: usize| self.names.zones.get(zone).map_or(UNNAMED_ZONES, String::as_str).to_owned();
        let from = zone_name(self.names.local_zone);
        let zones = self.probes.len();
        let mut totals = Totals::default();
        for (index, row) in self.counters.iter().enumerate() {
            let [
                first,
                retries,
                unsent,
                served,
                failed,
                bytes_out,
                bytes_in,
                down,
                full,
                late,
                failing,
                bound,
            ] = std::array::from_fn(|counter| row[counter].load(Ordering::Relaxed));
            if first + retries > 0 {
                totals.rows.push(AttemptsRow {
                    class: self.names.classes[index / zones].clone(),
                    from: from.clone(),
                    to: zone_name(index % zones),
                    first,
                    retries,
                    unsent,
                    served,
                    failed,
                    bytes_out,
                    bytes_in,
                    exempted: ExemptionCounts { down, full, late, failing, bound },
                });
            }
        }
        for (zone, probes) in self.probes.iter().enumerate() {
            let probes = probes.load(Ordering::Relaxed);
            if probes > 0 {
                totals.probes.push(ProbesRow { from: from.clone(), to: zone_name(zone), probes });
            }
        }
        totals
    }

    /// Adds counts of an earlier table. Rows are dropped if they are from another zone than this instance's,
    /// or if that zone, their class or their destination zone has no name now.
    pub fn add_previous(&self, previous: &Totals) {
        let find = |names: &[String], name: &str| names.iter().position(|known| known == name);
        let find_zone = |name: &str| match find(&self.names.zones, name) {
            Some(zone) => Some(zone),
            None => (name == UNNAMED_ZONES).then_some(self.names.zones.len()),
        };
        let local_zone = self.names.zones.get(self.names.local_zone);
        for row in previous.rows.iter().filter(|row| Some(&row.from) == local_zone) {
            let Some((class, to)) = find(&self.names.classes, &row.class).zip(find_zone(&row.to)) else {
                continue;
            };
            let ExemptionCounts { down, full, late, failing, bound } = row.exempted;
            let counts = [
                (Counter::First, row.first),
                (Counter::Retry, row.retries),
                (Counter::Unsent, row.unsent),
                (Counter::Served, row.served),
                (Counter::Failed, row.failed),
                (Counter::BytesOut, row.bytes_out),
                (Counter::BytesIn, row.bytes_in),
                (Counter::Exempted(BudgetExemption::Down), down),
                (Counter::Exempted(BudgetExemption::Full), full),
                (Counter::Exempted(BudgetExemption::Late), late),
                (Counter::Exempted(BudgetExemption::Failing), failing),
                (Counter::Exempted(BudgetExemption::Bound), bound),
            ];
            for (counter, count) in counts {
                self.add(ClassId(class), ZoneId(to as u64), counter, count);
            }
        }
        for row in previous.probes.iter().filter(|row| Some(&row.from) == local_zone) {
            if let Some(to) = find_zone(&row.to) {
                self.probes[to].fetch_add(row.probes, Ordering::Relaxed);
            }
        }
    }
}

/// Attempts that left their zone although no budget paid for them, by reason. See [`BudgetExemption`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExemptionCounts {
    /// The zone had no server to select: none was listed, or all were ejected.
    pub down: u64,
    /// No server of the zone had capacity.
    pub full: u64,
    /// Answers from the zone would have been too late.
    pub late: u64,
    /// Servers of the zone failed too often.
    pub failing: u64,
    /// Only servers in other zones recognise the key of the request as a duplicate.
    pub bound: u64,
}

impl ExemptionCounts {
    /// The sum over all reasons.
    pub fn total(&self) -> u64 {
        self.down + self.full + self.late + self.failing + self.bound
    }
}

/// The attempts of one class from one zone to one zone.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptsRow {
    /// The class.
    pub class: String,
    /// The zone of the sidecars.
    pub from: String,
    /// The zone of the servers.
    pub to: String,
    /// First attempts of requests, sent or not.
    pub first: u64,
    /// Retries of requests, sent or not.
    #[serde(rename = "again")]
    pub retries: u64,
    /// First attempts and retries that were not sent, for example since no connection could be established.
    pub unsent: u64,
    /// First attempts and retries that were served.
    pub served: u64,
    /// First attempts and retries that were sent and not served.
    pub failed: u64,
    /// Bytes of request bodies.
    pub bytes_out: u64,
    /// Bytes of answer bodies.
    pub bytes_in: u64,
    /// First attempts and retries that left the zone although no budget paid for them.
    #[serde(rename = "bent")]
    pub exempted: ExemptionCounts,
}

impl AttemptsRow {
    /// Whether the attempts left their zone.
    pub fn is_cross_zone(&self) -> bool {
        self.from != self.to
    }

    /// First attempts and retries.
    pub fn attempts(&self) -> u64 {
        self.first + self.retries
    }

    fn add(&mut self, other: &AttemptsRow) {
        self.first += other.first;
        self.retries += other.retries;
        self.unsent += other.unsent;
        self.served += other.served;
        self.failed += other.failed;
        self.bytes_out += other.bytes_out;
        self.bytes_in += other.bytes_in;
        self.exempted.down += other.exempted.down;
        self.exempted.full += other.exempted.full;
        self.exempted.late += other.exempted.late;
        self.exempted.failing += other.exempted.failing;
        self.exempted.bound += other.exempted.bound;
    }
}

/// The probes from one zone to one zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbesRow {
    /// The zone of the sidecars.
    pub from: String,
    /// The zone of the servers.
    pub to: String,
    /// The number of probes.
    pub probes: u64,
}

/// The counts of one or many instances.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// Attempts, by class and zones.
    pub rows: Vec<AttemptsRow>,
    /// Probes, by zones.
    pub probes: Vec<ProbesRow>,
}

impl Totals {
    /// Adds the counts of other instances.
    pub fn add(&mut self, other: &Totals) {
        for row in &other.rows {
            let is_same =
                |sum: &&mut AttemptsRow| (&sum.class, &sum.from, &sum.to) == (&row.class, &row.from, &row.to);
            match self.rows.iter_mut().find(is_same) {
                Some(sum) => sum.add(row),
                None => self.rows.push(row.clone()),
            }
        }
        for row in &other.probes {
            match self.probes.iter_mut().find(|sum| (&sum.from, &sum.to) == (&row.from, &row.to)) {
                Some(sum) => sum.probes += row.probes,
                None => self.probes.push(row.clone()),
            }
        }
    }

    /// All attempts of a class (`None` for all classes), and the cross-zone ones among them.
    pub fn attempts_and_crossings(&self, class: Option<&str>) -> (u64, u64) {
        let rows = || self.rows.iter().filter(|row| class.is_none_or(|class| row.class == class));
        let cross_zone = rows().filter(|row| row.is_cross_zone()).map(AttemptsRow::attempts).sum();
        (rows().map(AttemptsRow::attempts).sum(), cross_zone)
    }
}
