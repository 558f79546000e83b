//! The project's own decision module, as it is shipped, with its plan for what crosses zones if there is one.

use std::any::Any;

use sagemast_decide::Balancer;
use sagemast_decide::api::*;
use sagemast_decide::cross_zone::CrossZoneLimiter;
use sagemast_pools::counts::Totals;
use sagemast_pools::cross_zone_budget::CrossZoneBudgets;

use super::{Policy, Truth};

pub struct Module(Balancer);

impl Module {
    pub fn new(settings: Settings, plan: Option<CrossZoneBudgets>, seed: u64) -> Module {
        let mut module = Balancer::new(settings, seed);
        module.set_cross_zone_budget(plan.map(|plan| Box::new(plan) as Box<dyn CrossZoneLimiter>));
        Module(module)
    }
}

impl Policy for Module {
    fn handle(&mut self, now: Millis, event: Event, _: &dyn Truth, out: &mut Vec<Action>) {
        if let (Event::AttemptFinished(end), Some(plan)) = (&event, self.0.cross_zone_budget_mut()) {
            // The model has no bodies.
            plan.attempt_ended(now, end.request, end.attempt, end.outcome, [0, 0]);
        }
        self.0.handle(now, event, out);
    }

    fn crossings(&mut self) -> Option<(Totals, usize)> {
        let plan = (self.0.cross_zone_budget_mut()? as &mut dyn Any).downcast_mut::<CrossZoneBudgets>()?;
        Some((plan.counts().totals(), plan.outstanding_attempts()))
    }
}
