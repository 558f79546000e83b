//! One sidecar on real sockets, as a library. [`instance::Instance`] is the complete sidecar; its owner
//! passes in the listener and all resource limits. Only the driver has access to the decision module; all
//! other parts send it events through a channel, with the types of [`messages`].

pub mod budget;
pub mod client;
pub mod client_disconnect;
pub mod config;
pub mod connection;
pub mod connection_activity;
pub mod connection_close;
pub mod console;
pub mod cross_zone_budget;
pub mod discovery;
pub mod driver;
pub mod execution;
pub mod front;
pub mod handover;
pub mod head_gate;
pub mod headers;
pub mod hosts;
pub mod inherited_listener;
pub mod instance;
pub mod io_counts;
pub mod json_stream;
pub mod lifecycle;
pub mod line_buffer;
pub mod log;
pub mod messages;
pub mod metered_stream;
pub mod metrics;
pub mod request_bound;
pub mod request_ids;
pub mod resource_limits;
pub mod servers;
pub mod socket_diagnostics;
pub mod transfer;
pub mod upstream;
pub mod watch_liveness;
pub mod write_check;
