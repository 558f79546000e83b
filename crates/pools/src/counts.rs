//! What crosses, counted: by class and zone, with every reason. Kept by one plan after another, read by anyone while
//! they run.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use sagemast_decide::api::{ClassId, ZoneId};
use sagemast_decide::cross_zone::BudgetExemption;
use serde::{Deserialize, Serialize};

use crate::cross_zone_budget::MAX_BUDGETS;

/// Zones that the settings do not name are counted together under this name.
pub const UNNAMED_ZONES: &str = "elsewhere";

/// Something that is counted of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Counter {
    /// A first attempt.
    First,
    /// A further one.
    Retry,
    /// One that crossed without a budget.
    Exempted(BudgetExemption),
    /// One that never left: no connection came up.
    Unsent,
    /// One that was served.
    Served,
    /// One that came to anything else.
    Failed,
    /// Bytes of request bodies.
    BytesOut,
    /// Bytes of answers.
    BytesIn,
}

const KINDS: usize = 12;

impl Counter {
    fn place(self) -> usize {
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

/// What is counted is told apart by these names. Their number, which settings bound, is all that the table's size
/// depends on.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Names {
    /// Of classes, by id.
    pub classes: Vec<String>,
    /// Of zones, by id.
    pub zones: Vec<String>,
    /// The zone that all of this leaves from.
    pub local_zone: usize,
}

/// The counts of one instance, from when its table was made on.
#[derive(Debug)]
pub struct Counts {
    names: Names,
    /// By class, then zone.
    attempts: Vec<[AtomicU64; KINDS]>,
    /// By zone.
    probes: Vec<AtomicU64>,
    /// What each budget held and could hold at the last attempt: the bits of the numbers.
    levels: [[AtomicU64; 2]; MAX_BUDGETS],
    budgets: AtomicUsize,
}

impl Counts {
    /// All zero.
    pub fn new(names: Names) -> Counts {
        let zones = names.zones.len() + 1;
        let attempts = (0..names.classes.len() * zones).map(|_| Default::default()).collect();
        let probes = (0..zones).map(|_| AtomicU64::new(0)).collect();
        Counts { names, attempts, probes, levels: Default::default(), budgets: AtomicUsize::new(0) }
    }

    /// What it tells apart.
    pub fn names(&self) -> &Names {
        &self.names
    }

    fn zone(&self, zone: ZoneId) -> usize {
        usize::try_from(zone.0).unwrap_or(usize::MAX).min(self.names.zones.len())
    }

    /// Counts so many more.
    pub fn add(&self, class: ClassId, to: ZoneId, kind: Counter, more: u64) {
        let cell = class.0 * self.probes.len() + self.zone(to);
        if let Some(cell) = self.attempts.get(cell) {
            cell[kind.place()].fetch_add(more, Ordering::Relaxed);
        }
    }

    /// Counts a probe.
    pub fn add_probe(&self, to: ZoneId) {
        self.probes[self.zone(to)].fetch_add(1, Ordering::Relaxed);
    }

    /// Tells what the budgets hold and can hold.
    pub fn set_budget_levels(&self, levels: impl Iterator<Item = (f64, f64)>) {
        let mut count = 0;
        for (place, (level, burst)) in self.levels.iter().zip(levels) {
            place[0].store(level.to_bits(), Ordering::Relaxed);
            place[1].store(burst.to_bits(), Ordering::Relaxed);
            count += 1;
        }
        self.budgets.store(count, Ordering::Release);
    }

    /// What the budgets held and could hold at the last attempt, in the order of the rules.
    pub fn budget_levels(&self) -> Vec<(f64, f64)> {
        let number = |bits: &AtomicU64| f64::from_bits(bits.load(Ordering::Relaxed));
        let count = self.budgets.load(Ordering::Acquire);
        self.levels.iter().take(count).map(|[level, burst]| (number(level), number(burst))).collect()
    }

    /// The counts as they stand, without rows of zeros.
    pub fn totals(&self) -> Totals {
        let name = |zone: usize| self.names.zones.get(zone).map_or(UNNAMED_ZONES, String::as_str).to_owned();
        let from = name(self.names.local_zone);
        let zones = self.probes.len();
        let mut totals = Totals::default();
        for (at, cell) in self.attempts.iter().enumerate() {
            let [first, again, unsent, served, failed, bytes_out, bytes_in, down, full, late, failing, bound] =
                std::array::from_fn(|kind| cell[kind].load(Ordering::Relaxed));
            if first + again > 0 {
                let class = self.names.classes[at / zones].clone();
                let bent = ExemptionCounts { down, full, late, failing, bound };
                let (from, to) = (from.clone(), name(at % zones));
                totals.rows.push(AttemptsRow {
                    class,
                    from,
                    to,
                    first,
                    retries: again,
                    unsent,
                    served,
                    failed,
                    bytes_out,
                    bytes_in,
                    exempted: bent,
                });
            }
        }
        for (zone, probes) in self.probes.iter().enumerate() {
            let probes = probes.load(Ordering::Relaxed);
            if probes > 0 {
                totals.probes.push(ProbesRow { from: from.clone(), to: name(zone), probes });
            }
        }
        totals
    }

    /// Adds what was counted before, as far as its names are still there. Others' are dropped.
    pub fn add_previous(&self, before: &Totals) {
        let find = |names: &[String], name: &str| names.iter().position(|known| known == name);
        let zone = |name: &str| match find(&self.names.zones, name) {
            Some(zone) => Some(zone),
            None => (name == UNNAMED_ZONES).then_some(self.names.zones.len()),
        };
        let home = self.names.zones.get(self.names.local_zone);
        for row in before.rows.iter().filter(|row| Some(&row.from) == home) {
            let Some((class, to)) = find(&self.names.classes, &row.class).zip(zone(&row.to)) else {
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
            for (kind, count) in counts {
                self.add(ClassId(class), ZoneId(to as u64), kind, count);
            }
        }
        for row in before.probes.iter().filter(|row| Some(&row.from) == home) {
            if let Some(to) = zone(&row.to) {
                self.probes[to].fetch_add(row.probes, Ordering::Relaxed);
            }
        }
    }
}

/// Attempts that crossed without a budget, by reason. See [`BudgetExemption`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExemptionCounts {
    /// No near server took part.
    pub down: u64,
    /// No near server had room.
    pub full: u64,
    /// Near ones would have answered too late.
    pub late: u64,
    /// Near ones failed too often.
    pub failing: u64,
    /// Only those across drop its repeats.
    pub bound: u64,
}

impl ExemptionCounts {
    /// For all reasons.
    pub fn total(&self) -> u64 {
        self.down + self.full + self.late + self.failing + self.bound
    }
}

/// What went from one zone to one, of one class.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptsRow {
    /// The class.
    pub class: String,
    /// The zone of the sidecars.
    pub from: String,
    /// The zone of the servers.
    pub to: String,
    /// First attempts.
    pub first: u64,
    /// Further ones.
    #[serde(rename = "again")]
    pub retries: u64,
    /// Of both, those that never left: no connection came up.
    pub unsent: u64,
    /// Of both, those that were served.
    pub served: u64,
    /// Of both, those that came to anything else.
    pub failed: u64,
    /// Bytes of request bodies.
    pub bytes_out: u64,
    /// Bytes of answers' bodies.
    pub bytes_in: u64,
    /// Of both, those that crossed without a budget.
    #[serde(rename = "bent")]
    pub exempted: ExemptionCounts,
}

impl AttemptsRow {
    /// Whether it crosses.
    pub fn is_cross_zone(&self) -> bool {
        self.from != self.to
    }

    /// First and further attempts.
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

/// Probes from one zone to one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbesRow {
    /// The zone of the sidecars.
    pub from: String,
    /// The zone of the servers.
    pub to: String,
    /// How many.
    pub probes: u64,
}

/// The counts of one or many instances.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// Attempts.
    pub rows: Vec<AttemptsRow>,
    /// Probes.
    pub probes: Vec<ProbesRow>,
}

impl Totals {
    /// Adds another's.
    pub fn add(&mut self, other: &Totals) {
        for row in &other.rows {
            let same = |mine: &&mut AttemptsRow| {
                (&mine.class, &mine.from, &mine.to) == (&row.class, &row.from, &row.to)
            };
            match self.rows.iter_mut().find(same) {
                Some(mine) => mine.add(row),
                None => self.rows.push(row.clone()),
            }
        }
        for row in &other.probes {
            match self.probes.iter_mut().find(|mine| (&mine.from, &mine.to) == (&row.from, &row.to)) {
                Some(mine) => mine.probes += row.probes,
                None => self.probes.push(row.clone()),
            }
        }
    }

    /// Attempts of a class, or of all: all of them, and those that crossed.
    pub fn attempts_and_crossings(&self, class: Option<&str>) -> (u64, u64) {
        let rows = || self.rows.iter().filter(|row| class.is_none_or(|class| row.class == class));
        let crossed = rows().filter(|row| row.is_cross_zone()).map(AttemptsRow::attempts).sum();
        (rows().map(AttemptsRow::attempts).sum(), crossed)
    }
}
