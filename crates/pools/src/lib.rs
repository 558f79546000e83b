//! Limits on where the decision module may choose. [`crossing::Plan`] holds traffic that leaves a sidecar's zone
//! within budgets; it plugs into the module as its [`CrossZone`](sagemast_decide::crossing::CrossZone).

pub mod bucket;
pub mod counts;
pub mod crossing;
pub mod file;
