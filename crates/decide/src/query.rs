//! What the module can be asked without changing it.

use crate::Balancer;
use crate::api::UpstreamId;
use crate::fleet::CandidateScope;

impl Balancer {
    /// How many serving servers take no part in the draw now, for their failures.
    pub fn avoided(&self) -> usize {
        let (ready, all) = self.upstreams.sizes(CandidateScope::All);
        all - ready
    }

    /// Whether a server is one of those that requests are drawn from: connections to others are of little use.
    pub fn is_member(&self, id: UpstreamId) -> bool {
        self.upstreams.is_member(id)
    }
}
