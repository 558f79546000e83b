//! Queries that don't change the module.

use crate::Balancer;
use crate::api::UpstreamId;
use crate::fleet::CandidateScope;

impl Balancer {
    /// The number of serving servers that are ejected, half-open ones not included.
    pub fn ejected_count(&self) -> usize {
        let (ready, all) = self.upstreams.sizes(CandidateScope::All);
        all - ready
    }

    /// Whether a server is in the subset that requests are sent to. Connections to other servers are of
    /// little use.
    pub fn is_member(&self, id: UpstreamId) -> bool {
        self.upstreams.is_member(id)
    }
}
