//! What the core is told and what it answers.

use std::net::SocketAddr;

pub use sagemast_decide::api::Millis;
use serde::{Deserialize, Serialize};

/// A flow. The same number never means another flow: a place that is used again has another generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowId {
    /// Its place in the table.
    pub slot: u32,
    /// Which of the flows that had this place.
    pub generation: u32,
}

impl FlowId {
    /// As one number, as servers and operators are told it.
    pub fn number(self) -> u64 {
        u64::from(self.generation) << 32 | u64::from(self.slot)
    }

    /// From that number.
    pub fn from_number(number: u64) -> FlowId {
        FlowId { slot: number as u32, generation: (number >> 32) as u32 }
    }
}

/// Why a flow goes to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// It is new.
    New = 0,
    /// The server before did not answer its first datagrams.
    Unanswered = 1,
    /// The server before is lost: refused by its host, or silent.
    Lost = 2,
    /// The server before drains, and its grace is over.
    Drained = 3,
    /// The server before is no longer listed, or listens elsewhere.
    Gone = 4,
    /// The operator said so.
    Told = 5,
    /// It was there before a restart.
    Restored = 6,
}

impl Cause {
    /// In a word.
    pub fn word(self) -> &'static str {
        match self {
            Cause::New => "new",
            Cause::Unanswered => "unanswered",
            Cause::Lost => "lost",
            Cause::Drained => "drained",
            Cause::Gone => "gone",
            Cause::Told => "told",
            Cause::Restored => "restored",
        }
    }
}

/// Why a datagram went nowhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Drop {
    /// Its source prefix begins more flows than it may.
    SourceNew = 0,
    /// Its source prefix sends more in flows that no server has answered than it may.
    SourceRate = 1,
    /// Its flow sends more than a flow may.
    FlowRate = 2,
    /// No place: its source prefix has its share of the places for unanswered flows.
    SourceShare = 3,
    /// No place: every flow in the table lives.
    TableFull = 4,
    /// The module refused the flow: no server takes part, or none has room.
    NoServer = 5,
    /// No descriptor for its socket.
    NoSocket = 6,
    /// Its server may be sent nothing more and there is no other.
    Stranded = 7,
    /// An answer to a source that has not shown that it hears, beyond the allowed multiple of what it sent.
    Amplification = 8,
    /// Its flow has ended.
    Unknown = 9,
    /// The listener takes no new flow: it is about to end.
    Closing = 10,
    /// The socket buffer was full (EAGAIN, ENOBUFS).
    Buffer = 11,
    /// The kernel refused to send it for another reason.
    Send = 12,
    /// All sources together begin more flows than they may.
    NewRate = 13,
}

impl Drop {
    /// How many there are.
    pub const COUNT: usize = 14;
    /// All, by number.
    pub const ALL: [Drop; Drop::COUNT] = [
        Drop::SourceNew,
        Drop::SourceRate,
        Drop::FlowRate,
        Drop::SourceShare,
        Drop::TableFull,
        Drop::NoServer,
        Drop::NoSocket,
        Drop::Stranded,
        Drop::Amplification,
        Drop::Unknown,
        Drop::Closing,
        Drop::Buffer,
        Drop::Send,
        Drop::NewRate,
    ];

    /// In a word, as tables and metrics have it.
    pub fn word(self) -> &'static str {
        match self {
            Drop::SourceNew => "source-new",
            Drop::SourceRate => "source-rate",
            Drop::FlowRate => "flow-rate",
            Drop::SourceShare => "source-share",
            Drop::TableFull => "table-full",
            Drop::NoServer => "no-server",
            Drop::NoSocket => "no-socket",
            Drop::Stranded => "stranded",
            Drop::Amplification => "amplification",
            Drop::Unknown => "unknown",
            Drop::Closing => "closing",
            Drop::Buffer => "buffer",
            Drop::Send => "send",
            Drop::NewRate => "new-rate",
        }
    }
}

/// Why a flow has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// Nothing came for its idle time.
    Idle = 0,
    /// No server answered in time.
    Unanswered = 1,
    /// It was unanswered, and its place went to another source.
    Pushed = 2,
    /// The operator said so.
    Told = 3,
    /// No descriptor for its socket.
    NoSocket = 4,
}

impl End {
    /// All, by number.
    pub const ALL: [End; 5] = [End::Idle, End::Unanswered, End::Pushed, End::Told, End::NoSocket];

    /// In a word.
    pub fn word(self) -> &'static str {
        match self {
            End::Idle => "idle",
            End::Unanswered => "unanswered",
            End::Pushed => "pushed",
            End::Told => "told",
            End::NoSocket => "no-socket",
        }
    }
}

/// The one fate of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// To the server of this flow.
    ToServer(FlowId),
    /// To this client.
    ToClient(SocketAddr),
    /// Nowhere.
    Dropped(Drop),
}

/// Something for the shell to do, in order, before it carries out the fate of the datagram at hand.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Have the flow's socket, made if it has none, send to this server from now on. Where it cannot be done, say so
    /// with [`crate::Flows::no_socket`].
    Open {
        /// The flow.
        flow: FlowId,
        /// Its server.
        to: SocketAddr,
        /// Why; the server is told where [`crate::rules::Rules::hello`] is set.
        cause: Cause,
        /// The local port that the flow had before a restart.
        port: Option<u16>,
    },
    /// Close the flow's socket.
    Close {
        /// The flow.
        flow: FlowId,
        /// Why.
        end: End,
    },
    /// A line for the operators.
    Log(String),
}

/// A server as discovery or the file has it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Its name, the same across restarts.
    pub name: String,
    /// Where it takes datagrams.
    pub dial: SocketAddr,
    /// Its zone, as a number; that of the listener is near.
    pub zone: u64,
    /// Its size compared with others.
    pub weight: f64,
    /// When it last started, on the caller's clock, where that is not long ago.
    pub started: Option<Millis>,
    /// Whether it takes new flows.
    pub serving: bool,
}

/// News of the servers.
#[derive(Debug, Clone, PartialEq)]
pub enum News {
    /// All of them: who is missing is gone.
    Complete(Vec<Entry>),
    /// Some have changed, and these are gone.
    Changed(Vec<Entry>, Vec<String>),
}
