//! From one process of a sidecar to the next, while both run: a Unix socket in `$TMPDIR` that the newest listens on.
//!
//! ```text
//! elder                                      younger
//!                                         <- hello: version, names of the settings
//!   estate: list, version, memory         ->
//!   held, news                           <->   held, news      until one of them ends
//! ```
//!
//! The end of the connection tells each that it is alone. A successor that ends before it serves leaves everything as it
//! was.

mod link;
pub mod message;
pub mod shares;

pub use link::{HandoverDirectory, Predecessor, Succession, SuccessionHandle, run};
