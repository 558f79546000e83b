//! One sidecar on real sockets, as a library: [`instance::Instance`] is the whole of it, and its owner hands it
//! the listener and all that it may hold. The driver alone owns the decision module; everything else tells it
//! what happened through a channel, in the messages of [`messages`].

pub mod budget;
pub mod calls;
pub mod client;
pub mod closing;
pub mod config;
pub mod connection;
pub mod console;
pub mod counted;
pub mod crossing;
pub mod discovery;
pub mod driver;
pub mod execution;
pub mod front;
pub mod handover;
pub mod headers;
pub mod hosts;
pub mod inherited;
pub mod instance;
pub mod lifecycle;
pub mod lines;
pub mod log;
pub mod messages;
pub mod metrics;
pub mod presence;
pub mod request_bound;
pub mod resource_limits;
pub mod servers;
pub mod slot;
pub mod transfer;
pub mod upstream;
pub mod values;
pub mod watch_liveness;
pub mod writing;
