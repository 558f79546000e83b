//! Stand-ins on loopback addresses for tests, scenarios and the demo: upstreams that count what they have run,
//! discovery, clients that know what was lost, and the program itself as a process. The scenarios are in
//! `sagemast-rig`, which is never shipped.

pub mod answer_audit;
pub mod answer_parser;
pub mod answer_plan;
pub mod buildings;
pub mod clients;
pub mod datagrams;
pub mod discovery;
pub mod effects;
pub mod feeds;
pub mod fixed;
pub mod fleet;
pub mod kept_connections;
pub mod procfs;
pub mod program;
pub mod raw_http;
pub mod scripted_upstream;
pub mod single;
pub mod upstream;
