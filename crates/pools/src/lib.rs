//! Limits on the servers that the decision module may choose. [`cross_zone_budget::CrossZoneBudgets`] keeps
//! the traffic that leaves a sidecar's zone within budgets; it implements the module's
//! [`CrossZoneLimiter`](sagemast_decide::cross_zone::CrossZoneLimiter).

pub mod counts;
pub mod cross_zone_budget;
pub mod file;
pub mod token_bucket;
