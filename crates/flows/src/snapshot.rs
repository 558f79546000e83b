//! The table as it is kept and handed on: a magic number, a version, when it was taken, a checksum, and the flows and
//! servers in postcard's form. What is torn, foreign, from another version or too old is not believed.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::api::{Entry, Millis};
use crate::key::Key;

const MAGIC: &[u8; 4] = b"SGMF";
const VERSION: u32 = 1;
const HEAD: usize = 4 + 4 + 8 + 4;

/// A flow that lived.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeptFlow {
    /// Its number, which a server may know it by.
    pub number: u64,
    /// What it is found by.
    pub key: Key,
    /// Where its client is.
    pub client: SocketAddr,
    /// Its server's name.
    pub server: String,
    /// The local port that its server knows it by.
    pub port: u16,
    /// Whether its client has shown that it hears.
    pub proven: bool,
    /// How long it had been there.
    pub age: Millis,
}

/// What is kept.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Kept {
    /// Servers.
    pub servers: Vec<Entry>,
    /// Live flows.
    pub flows: Vec<KeptFlow>,
}

/// What is kept, with when it was so.
#[derive(Debug, Clone, PartialEq)]
pub struct Snapshot {
    /// Unix time, in milliseconds.
    pub unix_ms: u64,
    /// What.
    pub kept: Kept,
}

/// Why a snapshot is not believed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// It is not one of ours.
    Foreign,
    /// Another version wrote it.
    Version(u32),
    /// It is not whole.
    Torn,
    /// It was taken so many milliseconds ago, or later than now.
    Old(i128),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Foreign => write!(f, "is no table of flows"),
            Fault::Version(version) => write!(f, "has version {version}; this program reads {VERSION}"),
            Fault::Torn => write!(f, "is not whole"),
            Fault::Old(ms) => write!(f, "is {ms} ms old: too old to be believed"),
        }
    }
}

impl Snapshot {
    /// In bytes.
    pub fn encode(&self) -> Vec<u8> {
        // Plain data always has a form.
        let body = postcard::to_stdvec(&self.kept).unwrap_or_default();
        let mut bytes = Vec::with_capacity(HEAD + body.len());
        bytes.extend_from_slice(MAGIC);
        bytes.extend_from_slice(&VERSION.to_le_bytes());
        bytes.extend_from_slice(&self.unix_ms.to_le_bytes());
        bytes.extend_from_slice(&Snapshot::checksum(self.unix_ms, &body).to_le_bytes());
        bytes.extend_from_slice(&body);
        bytes
    }

    fn checksum(unix_ms: u64, body: &[u8]) -> u32 {
        let mut sum = crc32fast::Hasher::new();
        sum.update(&unix_ms.to_le_bytes());
        sum.update(body);
        sum.finalize()
    }

    /// From bytes, if they can be believed at this time.
    pub fn decode(bytes: &[u8], now_unix_ms: u64, oldest: Millis) -> Result<Snapshot, Fault> {
        let (head, body) = bytes.split_at_checked(HEAD).ok_or(Fault::Foreign)?;
        let (magic, rest) = head.split_at(4);
        let word = |at: usize| <[u8; 4]>::try_from(&rest[at..at + 4]).map(u32::from_le_bytes);
        let (Ok(version), Ok(low), Ok(high), Ok(sum)) = (word(0), word(4), word(8), word(12)) else {
            return Err(Fault::Foreign);
        };
        if magic != MAGIC {
            return Err(Fault::Foreign);
        }
        if version != VERSION {
            return Err(Fault::Version(version));
        }
        let unix_ms = u64::from(high) << 32 | u64::from(low);
        if Snapshot::checksum(unix_ms, body) != sum {
            return Err(Fault::Torn);
        }
        let age = i128::from(now_unix_ms) - i128::from(unix_ms);
        if age < 0 || age as f64 > oldest {
            return Err(Fault::Old(age));
        }
        let kept = postcard::from_bytes(body).map_err(|_| Fault::Torn)?;
        Ok(Snapshot { unix_ms, kept })
    }
}
