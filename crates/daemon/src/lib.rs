//! Many instances of the sidecar in one process. [`plan`] decides what is to be done, purely; everything else does
//! it, or tells what came of it.

pub mod config;
pub mod fleet_file;
pub mod ledger;
pub mod plan;
