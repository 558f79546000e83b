//! What a listener goes by. Times are milliseconds. How it is read from a file stands in [`crate::file`].

use sagemast_decide::api::Millis;

/// Where datagrams hold the id of their flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IdAt {
    /// The first byte of it.
    pub offset: usize,
    /// How long it is; 1 to [`crate::rules::ID_BYTES`].
    pub length: usize,
}

/// The longest id of a flow: that of a QUIC connection (RFC 9000, 17.2).
pub const ID_BYTES: usize = 20;

/// What tells that a server is lost although its host does not say so.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Silence {
    /// It has sent nothing for much longer than it ever does.
    Rhythm,
    /// Nothing does: only refusals by its host.
    Off,
}

/// Limits and times of one listener.
#[derive(Debug, Clone, PartialEq)]
pub struct Rules {
    /// Flows at most, live and unanswered.
    pub flows: usize,
    /// How many of them may be unanswered; the others are for live ones.
    pub tentative: usize,
    /// Source prefixes that are told apart; further ones share one allowance.
    pub sources: usize,
    /// Bits of an IPv4 address that make a source prefix.
    pub prefix_v4: u8,
    /// The same for IPv6.
    pub prefix_v6: u8,
    /// Flows that a source prefix may begin a second, and save up.
    pub new_per_s: f64,
    /// As many may be begun at once.
    pub new_burst: f64,
    /// Flows that all sources together may begin a second: each costs a socket, and prefixes can be forged.
    pub all_new_per_s: f64,
    /// Datagrams a second of a source prefix in flows that no server has answered.
    pub tentative_per_s: f64,
    /// Datagrams a second of one live flow.
    pub flow_per_s: f64,
    /// An unproven source gets this multiple of the bytes that it sent, at most (RFC 9000, 8.1 has 3).
    pub amplification: f64,
    /// A live flow with no datagram either way for so long ends.
    pub idle: Millis,
    /// One whose client has sent nothing for so long ends, whatever its server sends.
    pub client_idle: Millis,
    /// An unanswered flow ends after this long.
    pub unanswered: Millis,
    /// Servers answer nothing: a flow lives once it has sent [`crate::flows::ONE_WAY_PROOF`] datagrams over half of
    /// `unanswered`.
    pub one_way: bool,
    /// Ids in datagrams, if flows have them.
    pub id: Option<IdAt>,
    /// A known id may come from another address once the old one was silent for so long.
    pub rebind_after: Millis,
    /// What tells that a server is lost.
    pub silence: Silence,
    /// A server is never counted as lost by silence sooner.
    pub silent_least: Millis,
    /// At most this share of the servers may be lost by silence alone: if more fall silent, there is nothing to tell.
    pub silent_most: f64,
    /// A server that drains keeps its flows for so long.
    pub drain_grace: Millis,
    /// Flows of a lost server move spread over this time.
    pub move_over: Millis,
    /// The first bytes of a datagram that tells a server of a flow, if its protocol has that.
    pub hello: Option<Vec<u8>>,
    /// Flows that a server of weight 1 can hold.
    pub flows_per_weight: f64,
    /// Daemons that use the same servers, this one included.
    pub peers: u32,
    /// The number of the listener's zone.
    pub zone: u64,
    /// What crossing to another zone costs, as a fraction of a flow's worth.
    pub crossing_fee: f64,
    /// A cold server has this share of its capacity at its start.
    pub cold_share: f64,
    /// And all of it after this long.
    pub warm_up: Millis,
    /// A cold server is sent at most this multiple of its present capacity.
    pub fall_multiple: f64,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            flows: 4096,
            tentative: 1024,
            sources: 4096,
            prefix_v4: 24,
            prefix_v6: 56,
            new_per_s: 50.0,
            new_burst: 200.0,
            all_new_per_s: 2_000.0,
            tentative_per_s: 1_000.0,
            flow_per_s: 5_000.0,
            amplification: 3.0,
            idle: 60_000.0,
            client_idle: 300_000.0,
            unanswered: 3_000.0,
            one_way: false,
            id: None,
            rebind_after: 1_000.0,
            silence: Silence::Rhythm,
            silent_least: 400.0,
            silent_most: 0.7,
            drain_grace: 4_000.0,
            move_over: 400.0,
            hello: None,
            flows_per_weight: 1_000.0,
            peers: 1,
            zone: 0,
            crossing_fee: 0.03,
            cold_share: 0.16,
            warm_up: 21_000.0,
            fall_multiple: 2.5,
        }
    }
}
