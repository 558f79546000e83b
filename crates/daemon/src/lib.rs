//! Many instances of the sidecar in one process. [`plan`] decides what is to be done, purely; everything else does
//! it, or tells what came of it.

pub mod config;
pub mod control;
pub mod crossings;
pub mod fleet_file;
pub mod frames;
pub mod grants;
pub mod handover;
pub mod id_exchange;
pub mod kept;
pub mod ledger;
pub mod listeners;
pub mod notify;
pub mod plan;
pub mod record;
mod requests;
pub mod store;
pub mod succession;
pub mod supervisor;
mod udp;
pub mod workers;
