//! What crosses between zones, by instance: the counts that outlast generations, and the process where a state
//! directory is configured.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use sagemast_pools::counts::{Counts, Totals};
use sagemast_sidecar::cross_zone_budget::CrossZoneBudget;
use tokio::time::Instant;

use crate::config::InstanceSpec;
use crate::frames::{BudgetLevel, CrossingReport};
use crate::kept::Kept;
use crate::plan::Name;

/// Counts that have changed are kept this often: a kill loses what came since.
const KEEP_EVERY: Duration = Duration::from_secs(5);

/// The counts of all instances whose crossings are counted. Their number is that of the configured instances.
pub struct Crossings {
    by_name: HashMap<Name, Table>,
    kept_at: Instant,
}

struct Table {
    counts: Arc<Counts>,
    /// As they were written last.
    written: Totals,
}

impl Crossings {
    /// None counted; nothing need be kept yet.
    pub fn since(now: Instant) -> Crossings {
        Crossings { by_name: HashMap::new(), kept_at: now }
    }

    /// What an instance that starts or changes goes by. Its counts go on from those of the generation before, or from
    /// what was kept.
    pub fn of(&mut self, name: &Name, spec: &InstanceSpec, kept: &Kept) -> Option<CrossZoneBudget> {
        let limits = spec.crossing.as_ref()?;
        let before = self.by_name.get(name);
        if let Some(same) = before.filter(|before| *before.counts.names() == limits.names) {
            return Some(CrossZoneBudget { rules: limits.rules.clone(), counts: same.counts.clone() });
        }
        let before = before.map(|before| before.counts.totals()).or_else(|| kept.crossing(name));
        let counts = Arc::new(Counts::new(limits.names.clone()));
        let before = before.unwrap_or_default();
        counts.add_previous(&before);
        self.by_name.insert(name.clone(), Table { counts: counts.clone(), written: before });
        Some(CrossZoneBudget { rules: limits.rules.clone(), counts })
    }

    /// What an instance has counted, if it counts.
    pub fn report(&self, name: &Name, spec: &InstanceSpec) -> Option<CrossingReport> {
        let counts = &self.by_name.get(name)?.counts;
        let budgets = spec.crossing.iter().flat_map(|limits| limits.rules.budgets.iter());
        let names = counts.names();
        let level = |(budget, (level, burst)): (&sagemast_pools::cross_zone_budget::Budget, (f64, f64))| {
            BudgetLevel { budget: budget.describe(names), level, burst }
        };
        Some(CrossingReport {
            name: name.to_string(),
            totals: counts.totals(),
            budgets: budgets.zip(counts.budget_levels()).map(level).collect(),
        })
    }

    /// Has what changed kept, if it is time again or `now`.
    pub fn keep(&mut self, kept: &Kept, now: bool) {
        if !now && self.kept_at.elapsed() < KEEP_EVERY {
            return;
        }
        self.kept_at = Instant::now();
        for (name, one) in &mut self.by_name {
            let totals = one.counts.totals();
            if totals != one.written {
                kept.keep_crossing(name, &totals);
                one.written = totals;
            }
        }
    }

    /// Forgets those that are configured no more.
    pub fn forget(&mut self, is_configured: impl Fn(&Name) -> bool) {
        self.by_name.retain(|name, _| is_configured(name));
    }
}
