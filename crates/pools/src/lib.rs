//! Limits on where the decision module may choose. [`cross_zone_budget::CrossZoneBudgets`] holds traffic that leaves a sidecar's zone
//! within budgets; it plugs into the module as its [`CrossZone`](sagemast_decide::cross_zone::CrossZone).

pub mod counts;
pub mod cross_zone_budget;
pub mod file;
pub mod token_bucket;
