//! The decision module: selects an upstream for each attempt, and decides on retries and refusals. The module
//! takes events and returns actions. It has no clock and does no I/O: the same seed, settings and events give
//! the same actions.

mod answer_progress;
pub mod api;
mod attempt_timeout;
pub mod balancer;
mod check_schedule;
pub mod cross_zone;
mod estimates;
mod fleet;
mod latency_outlier;
mod observed_capacity;
mod outlier_ejection;
mod outstanding_sends;
mod probe_budget;
mod probe_results;
mod query;
mod reports;
pub mod settings;
mod slow_start;
pub mod snapshot;
pub mod staleness;
mod state;
pub mod subset;
mod throttle;
mod upload;
mod zone_outage;

pub use balancer::Balancer;
