//! The project's own decision module, as it is shipped.

use sagemast_decide::Balancer;
use sagemast_decide::api::*;

use super::{Policy, Truth};

pub struct Module(Balancer);

impl Module {
    pub fn new(settings: Settings, seed: u64) -> Module {
        Module(Balancer::new(settings, seed))
    }
}

impl Policy for Module {
    fn handle(&mut self, now: Millis, event: Event, _: &dyn Truth, out: &mut Vec<Action>) {
        self.0.handle(now, event, out);
    }
}
