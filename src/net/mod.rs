//! The sidecar on real sockets. One thread; the driver alone owns the module, and everything else tells it
//! what happened through a channel.

pub mod client;
pub mod config;
pub mod counted;
pub mod discovery;
pub mod driver;
pub mod log;
pub mod servers;
pub mod upstream;
