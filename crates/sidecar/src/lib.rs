//! One sidecar on real sockets, as a library. One thread; the driver alone owns the decision module, and
//! everything else tells it what happened through a channel.

pub mod client;
pub mod config;
pub mod counted;
pub mod discovery;
pub mod driver;
pub mod log;
pub mod servers;
pub mod upstream;
