//! What the module can be asked without changing it.

use crate::Balancer;
use crate::fleet::Reach;

impl Balancer {
    /// How many serving servers take no part in the draw now, for their failures.
    pub fn avoided(&self) -> usize {
        let (ready, all) = self.upstreams.size(Reach::All);
        all - ready
    }
}
