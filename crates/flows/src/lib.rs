//! UDP flows: datagrams of one source go to one server for as long as both live. This crate holds the decisions and
//! the state: the table and its limits, who may have a place, when a flow expires, when a server counts as lost, and
//! when its flows move. Which server a flow goes to is the decision module's word. No clock, no socket, no file.

pub mod api;
pub mod counts;
pub mod file;
pub mod flows;
mod key;
mod list;
pub mod rules;
mod servers;
pub mod snapshot;
mod sources;
mod table;
mod wheel;

pub use flows::Flows;
