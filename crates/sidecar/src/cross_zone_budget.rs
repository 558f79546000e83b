//! Budgets for traffic between zones, as an owner hands them to an instance.

use std::any::Any;
use std::sync::Arc;

use sagemast_decide::Balancer;
use sagemast_decide::api::Millis;
use sagemast_decide::settings::Config as SettingsObject;
use sagemast_pools::counts::Counts;
use sagemast_pools::cross_zone_budget::{CrossZoneBudgets, Rules};
use sagemast_pools::file::{Fault, File};

/// The rules, and where it counts. One generation after another may count in the same place.
#[derive(Debug, Clone)]
pub struct CrossZoneBudget {
    /// What holds.
    pub rules: Rules,
    /// What is counted.
    pub counts: Arc<Counts>,
}

impl CrossZoneBudget {
    /// What a file says for an instance with these settings, with counts that begin at zero.
    pub fn of(file: &File, settings: &SettingsObject) -> Result<CrossZoneBudget, Vec<Fault>> {
        let (rules, names) = file.rules(settings)?;
        Ok(CrossZoneBudget { rules, counts: Arc::new(Counts::new(names)) })
    }

    /// Puts it into force, or takes away what was (`None`). A plan that counts in the same place goes on with other
    /// rules: what it has out and what its budgets hold stays.
    pub fn bring_into_force(
        crossing: Option<CrossZoneBudget>,
        module: &mut Balancer,
        sidecars: u32,
        now: Millis,
    ) {
        let Some(CrossZoneBudget { rules, counts }) = crossing else {
            return module.set_cross_zone_budget(None);
        };
        let plan = module
            .cross_zone_budget_mut()
            .and_then(|plan| (plan as &mut dyn Any).downcast_mut::<CrossZoneBudgets>());
        match plan.filter(|plan| Arc::ptr_eq(plan.counts(), &counts)) {
            Some(plan) => plan.set_rules(rules, now),
            None => module
                .set_cross_zone_budget(Some(Box::new(CrossZoneBudgets::new(rules, counts, sidecars, now)))),
        }
    }
}
