//! Which servers one sidecar knows, and how many: the order in which it takes servers in, and the size that its traffic asks
//! for. Pure values; who is a member follows in [`crate::fleet`].
//!
//! Each server has an order of all sidecars of its own, drawn from its name; a sidecar knows the servers for which it stands
//! early. So of any number of sidecars that stand first for a server there are just as many, whatever servers come and go,
//! and nobody has to agree with anybody on more than how many sidecars there are.

use crate::api::{Identity, Millis};

/// A number with the bits of another well mixed: the finaliser of SplitMix64 (Steele, Lea, Flood 2014).
pub fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9E37_79B9_7F4A_7C15);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}

/// The key of a name: FNV-1a, mixed. It must stay what it is: two versions of the program have to agree on it.
pub fn key(name: &str) -> u64 {
    let fnv = |sum: u64, byte: u8| (sum ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01B3);
    mix(name.bytes().fold(0xCBF2_9CE4_8422_2325, fnv))
}

/// Of weights only the nearest power of this counts: lists give them roughly, and some change them all the time.
const WEIGHT_STEP: f64 = 2.0;
/// Weights further from 1 than this many steps are a slip of the pen.
const WEIGHT_STEPS: f64 = 10.0;
/// More sidecars than any tier has: products with a number stay within 64 bits.
const MOST_SIDECARS: u64 = 1 << 24;
/// Standard deviations of a Poisson count that are allowed for.
const BY_CHANCE: f64 = 3.0;

/// How one sidecar takes servers in.
#[derive(Debug, Clone, Copy)]
pub struct Order {
    identity: Identity,
    /// The least prime that is not below the number of sidecars, where they are numbered.
    prime: u64,
}

impl Order {
    /// That of this sidecar.
    pub fn new(identity: Identity) -> Order {
        let Identity::Ranked { rank, of } = identity else { return Order { identity, prime: 2 } };
        let sidecars = u64::from(of).clamp(1, MOST_SIDECARS);
        let is_prime = |n: &u64| *n >= 2 && (2..).take_while(|d| d * d <= *n).all(|d| n % d != 0);
        let prime = (sidecars.max(2)..).find(is_prime).unwrap_or(2);
        let (rank, of) = (rank % sidecars as u32, sidecars as u32);
        Order { identity: Identity::Ranked { rank, of }, prime }
    }

    /// Whether it knows all servers, whatever comes.
    pub fn is_whole(&self) -> bool {
        self.identity == Identity::Nobody
    }

    /// Where it stands among all sidecars in the order of one server, as a share of them. Numbered ones all stand in places
    /// of their own, for a line over a field of prime size meets each place once (Carter and Wegman 1979); named ones
    /// stand where a hash of both has them (rendezvous hashing: Thaler and Ravishankar 1998).
    fn place(&self, key: u64) -> f64 {
        let unit = |bits: u64| (bits >> 11) as f64 / (1u64 << 53) as f64;
        match self.identity {
            Identity::Nobody => 0.0,
            Identity::Named(who) => unit(mix(who ^ mix(key))),
            Identity::Ranked { rank, .. } => {
                let step = 1 + mix(key ^ 1) % (self.prime - 1);
                let first = mix(key ^ 2) % self.prime;
                let place = (step * u64::from(rank) + first) % self.prime;
                // What is left of the key orders the servers for which it stands alike.
                (place as f64 + unit(mix(key ^ 3))) / self.prime as f64
            }
        }
    }

    /// How early it takes a server in: the least first. Those of twice the weight are known to twice as many.
    pub fn depth(&self, key: u64, weight: f64) -> u64 {
        let steps = weight.max(f64::MIN_POSITIVE).ln() / WEIGHT_STEP.ln();
        let weight = WEIGHT_STEP.powf(steps.round().clamp(-WEIGHT_STEPS, WEIGHT_STEPS));
        (self.place(key) / weight * (1u64 << 40) as f64) as u64
    }

    /// Whether it is one of so many that stand first for a server, of so many in all.
    pub fn is_among(&self, first: u32, sidecars: u32, key: u64) -> bool {
        match self.identity {
            Identity::Nobody => true,
            Identity::Named(_) => self.place(key) * f64::from(sidecars.max(1)) < f64::from(first),
            Identity::Ranked { .. } => (self.place(key) * self.prime as f64) < f64::from(first),
        }
    }

    /// How many there may be in earnest where so many are meant to be: hashes keep to that on the mean only.
    pub fn at_most(&self, first: u32) -> f64 {
        let first = f64::from(first);
        if matches!(self.identity, Identity::Named(_)) { first + BY_CHANCE * first.sqrt() } else { first }
    }
}

/// Members at least: with two in five ejected, and one in three of the rest cold or leaving, three are left to draw from.
const LEAST: f64 = 8.0;
/// Sidecars that know a server on the mean at least: fewer leave some servers to one or two sidecars.
const KNOWN_BY: f64 = 8.0;
/// A member is drawn once in this time on the mean, so that what is read of it serves once before it says nothing any more.
const DRAWN_IN: Millis = 1_000.0;
/// Traffic is taken as the larger of what came over these times: it grows at once and is slowly believed to be less.
const TRAFFIC_OVER: [Millis; 2] = [2_000.0, 30_000.0];
/// The size follows what is asked for only from so much more or less on.
const FOLLOWS: [f64; 2] = [0.7, 1.25];
/// Where members had no room and another had, it grows by this,
const WIDEN: f64 = 0.5;
/// and what it grew by goes by this share each time it is looked through without need.
const NARROW: f64 = 0.1;

/// How many servers one sidecar knows.
#[derive(Debug, Clone)]
pub struct Size {
    /// Arrivals a millisecond, over a short and a long time, as of then.
    rates: [f64; 2],
    at: Millis,
    base: f64,
    /// Beyond that, by evidence.
    more: f64,
    needed: bool,
}

impl Default for Size {
    fn default() -> Size {
        Size { rates: [0.0; 2], at: 0.0, base: 0.0, more: 0.0, needed: false }
    }
}

impl Size {
    /// A request has come.
    pub fn arrived(&mut self, now: Millis) {
        let since = (now - self.at).max(0.0);
        for (rate, over) in self.rates.iter_mut().zip(TRAFFIC_OVER) {
            *rate = *rate * (-since / over).exp() + 1.0 / over;
        }
        self.at = now;
    }

    /// Requests a millisecond.
    fn rate(&self, now: Millis) -> f64 {
        let since = (now - self.at).max(0.0);
        let rates = self.rates.iter().zip(TRAFFIC_OVER).map(|(rate, over)| rate * (-since / over).exp());
        rates.fold(0.0, f64::max)
    }

    /// How many it is to know of so many servers, where there are so many sidecars.
    pub fn wanted(&mut self, now: Millis, servers: usize, sidecars: u32) -> usize {
        let (servers, sidecars) = (servers as f64, f64::from(sidecars.max(1)));
        let by_traffic = 2.0 * self.rate(now) * DRAWN_IN;
        let asked = by_traffic.max(KNOWN_BY * servers / sidecars).max(LEAST).min(servers);
        let [less, more] = FOLLOWS.map(|share| share * self.base);
        // All is all, and the least is the least.
        if asked <= less || asked >= more || asked == servers {
            self.base = asked;
        }
        (self.base + self.more).min(servers).ceil() as usize
    }

    /// A request found no room among the members, and room elsewhere.
    pub fn widen(&mut self) {
        self.more += (WIDEN * (self.base + self.more)).max(1.0);
        self.needed = true;
    }

    /// Looked through now and then: what was not needed since goes again, by and by.
    pub fn review(&mut self, servers: usize) {
        self.more = self.more.min(servers as f64);
        if !std::mem::take(&mut self.needed) {
            self.more = if self.more < 1.0 { 0.0 } else { self.more - (NARROW * self.more).max(1.0) };
        }
    }
}
