//! The decision module: which upstream, whether to try again, what is turned away. Events in, actions out; no
//! clock and no I/O, so the same seed, settings and events give the same actions.

pub mod api;
pub mod balancer;
mod carried;
pub mod crossing;
mod fleet;
mod giving_up;
mod health;
mod learnt;
pub mod memory;
mod outages;
mod overdue;
mod probes;
mod query;
mod reports;
mod sends;
pub mod settings;
mod slow_start;
pub mod staleness;
mod state;
pub mod subset;
mod throttle;
mod upload;
mod watch;

pub use balancer::Balancer;
