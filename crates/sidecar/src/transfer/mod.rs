//! Bodies that are not held whole: how much there may be, how long it may take, and how it passes through.

pub mod answer;
pub mod answer_hold;
pub mod framing;
pub mod gathered;
pub mod limits;
pub mod outgoing;
pub mod patience;
pub mod upload;
