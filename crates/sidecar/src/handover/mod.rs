//! Handover from one process of a sidecar to its successor while both run, over a Unix socket in `$TMPDIR` on
//! which the newest serving process listens.
//!
//! ```text
//! predecessor                                        successor
//!                                                 <- hello: protocol version
//!   estate: setting names, host list, estimates   ->
//!   stands, news                                 <->   stands, news      until one of them ends
//! ```
//!
//! Each process detects the end of the other by the end of the connection. A successor that ends before it
//! serves changes nothing for its predecessor.

mod link;
pub mod message;
pub mod shares;

pub use link::{HandoverDirectory, Predecessor, Succession, SuccessionHandle, run};
