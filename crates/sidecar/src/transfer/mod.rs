//! Bodies that are not held whole: how much there may be, how long it may take, and how it passes through.

pub mod answer;
pub mod answer_hold;
pub mod body_buffer;
pub mod framing;
pub mod limits;
pub mod request_body;
pub mod stall_timeout;
pub mod upload;
