//! Budgets for cross-zone traffic, as the owner of an instance provides them.

use std::any::Any;
use std::sync::Arc;

use sagemast_decide::Balancer;
use sagemast_decide::api::Millis;
use sagemast_decide::settings::Config as SettingsObject;
use sagemast_pools::counts::Counts;
use sagemast_pools::cross_zone_budget::{CrossZoneBudgets, Rules};
use sagemast_pools::file::{Fault, File};

/// Rules of the budgets, and the counts that they are checked against. Successive generations of an instance
/// may share the counts.
#[derive(Debug, Clone)]
pub struct CrossZoneBudget {
    /// The rules.
    pub rules: Rules,
    /// The counts.
    pub counts: Arc<Counts>,
}

impl CrossZoneBudget {
    /// Creates the budgets that a file defines for an instance with these settings, with all counts at zero.
    pub fn from_file(file: &File, settings: &SettingsObject) -> Result<CrossZoneBudget, Vec<Fault>> {
        let (rules, names) = file.rules(settings)?;
        Ok(CrossZoneBudget { rules, counts: Arc::new(Counts::new(names)) })
    }

    /// Sets the budgets of a decision module, or removes them (`None`). If the module's current budgets share
    /// these counts, only their rules are replaced: attempts in flight and the levels of the budgets stay.
    pub fn apply_to(budget: Option<CrossZoneBudget>, module: &mut Balancer, sidecar_count: u32, now: Millis) {
        let Some(CrossZoneBudget { rules, counts }) = budget else {
            return module.set_cross_zone_budget(None);
        };
        let current = module
            .cross_zone_budget_mut()
            .and_then(|current| (current as &mut dyn Any).downcast_mut::<CrossZoneBudgets>());
        match current.filter(|current| Arc::ptr_eq(current.counts(), &counts)) {
            Some(current) => current.set_rules(rules, now),
            None => module.set_cross_zone_budget(Some(Box::new(CrossZoneBudgets::new(
                rules,
                counts,
                sidecar_count,
                now,
            )))),
        }
    }
}
