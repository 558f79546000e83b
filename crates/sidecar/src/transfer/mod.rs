//! Request and answer bodies: how they are framed, buffered, held back and streamed, and their size and time
//! limits.

pub mod answer;
pub mod answer_hold;
pub mod body_buffer;
pub mod client_progress;
pub mod framing;
pub mod limits;
pub mod pace;
pub mod pause_estimate;
pub mod request_body;
pub mod upload;
