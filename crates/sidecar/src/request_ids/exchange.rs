//! Messages about ids between two processes of one sidecar. The predecessor decides which of both processes
//! may use an id; its successor asks it.

use serde::{Deserialize, Serialize};

use super::IdDigest;

/// What a successor did with an id, in the order in which it did it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum IdRequest {
    /// It wants to use the id, and waits for the answer.
    Claim(IdDigest),
    /// It no longer uses the id: the request has its answer, or has not run.
    Release(IdDigest),
    /// It no longer uses the id. An attempt with it may have run, and the client has no answer.
    ReleaseUsed(IdDigest),
}

/// What a predecessor tells about ids, in the order in which it decided it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum IdNotice {
    /// The successor may use the id.
    Granted(IdDigest),
    /// The successor may not use the id.
    Denied(IdDigest),
    /// A request with this id may have run, and its client has no answer.
    Used(IdDigest),
}
