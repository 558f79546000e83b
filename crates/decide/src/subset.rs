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
pub fn name_key(name: &str) -> u64 {
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
pub struct ServerRanking {
    identity: Identity,
    /// The least prime that is not below the number of sidecars, where they are numbered.
    prime: u64,
}

impl ServerRanking {
    /// That of this sidecar.
    pub fn new(identity: Identity) -> ServerRanking {
        let Identity::Ranked { rank, count } = identity else { return ServerRanking { identity, prime: 2 } };
        let sidecars = u64::from(count).clamp(1, MOST_SIDECARS);
        let is_prime = |n: &u64| *n >= 2 && (2..).take_while(|d| d * d <= *n).all(|d| !n.is_multiple_of(d));
        let prime = (sidecars.max(2)..).find(is_prime).unwrap_or(2);
        let (rank, count) = (rank % sidecars as u32, sidecars as u32);
        ServerRanking { identity: Identity::Ranked { rank, count }, prime }
    }

    /// Whether it knows all servers, whatever comes.
    pub fn includes_all(&self) -> bool {
        self.identity == Identity::Anonymous
    }

    /// Where it stands among all sidecars in the order of one server, as a share of them. Numbered ones all stand in places
    /// of their own, for a line over a field of prime size meets each place once (Carter and Wegman 1979); named ones
    /// stand where a hash of both has them (rendezvous hashing: Thaler and Ravishankar 1998).
    fn place(&self, key: u64) -> f64 {
        let unit = |bits: u64| (bits >> 11) as f64 / (1u64 << 53) as f64;
        match self.identity {
            Identity::Anonymous => 0.0,
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
    pub fn position(&self, key: u64, weight: f64) -> u64 {
        let steps = weight.max(f64::MIN_POSITIVE).ln() / WEIGHT_STEP.ln();
        let weight = WEIGHT_STEP.powf(steps.round().clamp(-WEIGHT_STEPS, WEIGHT_STEPS));
        (self.place(key) / weight * (1u64 << 40) as f64) as u64
    }

    /// Whether it is one of so many that stand first for a server, of so many in all.
    pub fn is_owner(&self, first: u32, sidecars: u32, key: u64) -> bool {
        match self.identity {
            Identity::Anonymous => true,
            Identity::Named(_) => self.place(key) * f64::from(sidecars.max(1)) < f64::from(first),
            Identity::Ranked { .. } => (self.place(key) * self.prime as f64) < f64::from(first),
        }
    }

    /// How many there may be in earnest where so many are meant to be: hashes keep to that on the mean only.
    pub fn max_owners(&self, first: u32) -> f64 {
        let first = f64::from(first);
        if matches!(self.identity, Identity::Named(_)) { first + BY_CHANCE * first.sqrt() } else { first }
    }
}

/// Members at least: with two in five ejected, and one in three of the rest cold or leaving, three are left to draw from.
const LEAST: f64 = 8.0;
/// Sidecars that know a server on the mean at least: fewer leave some servers to one or two sidecars.
const KNOWN_BY: f64 = 8.0;
/// A member is drawn once in this time on the mean, so that what is read of it serves again while it is still true: queues change
/// in some service times. Laboratory, `fleet.toml`: of 125, 250, 500 and 1,000 ms this is best or as good on every day.
const DRAWN_IN: Millis = 250.0;
/// Traffic is taken as the larger of what came over these times: it grows at once and is slowly believed to be less.
const TRAFFIC_OVER: [Millis; 2] = [2_000.0, 30_000.0];
/// The size follows what is asked for only from so much more or less on.
const FOLLOWS: [f64; 2] = [0.7, 1.25];
/// What it grew by goes by this share each time it is looked through without need.
const NARROW: f64 = 0.1;
/// Looked through so often: about as long as a reading says something.
const NARROW_EVERY: Millis = 1_000.0;

/// How many servers one sidecar knows.
#[derive(Debug, Clone)]
pub struct SubsetSize {
    /// Arrivals a millisecond, over a short and a long time, as of then.
    rates: [f64; 2],
    at: Millis,
    base: f64,
    /// Beyond that, by evidence.
    more: f64,
    needed: bool,
    reviewed_at: Millis,
}

impl Default for SubsetSize {
    fn default() -> SubsetSize {
        SubsetSize { rates: [0.0; 2], at: 0.0, base: 0.0, more: 0.0, needed: false, reviewed_at: 0.0 }
    }
}

impl SubsetSize {
    /// A request has come.
    pub fn record_arrival(&mut self, now: Millis) {
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
    pub fn target(&mut self, now: Millis, servers: usize, sidecars: u32) -> usize {
        if now >= self.reviewed_at + NARROW_EVERY {
            self.reviewed_at = now;
            self.review(servers);
        }
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
        self.more += 1.0;
        self.needed = true;
    }

    /// Looked through now and then: what was not needed since goes again, by and by.
    fn review(&mut self, servers: usize) {
        self.more = self.more.min(servers as f64);
        if !std::mem::take(&mut self.needed) {
            self.more = if self.more < 1.0 { 0.0 } else { self.more - (NARROW * self.more).max(1.0) };
        }
    }
}

#[cfg(test)]
mod tests {
    use oorandom::Rand64;

    use super::*;

    fn orders(sidecars: u32, ranked: bool) -> Vec<ServerRanking> {
        let identity = |rank| match ranked {
            true => Identity::Ranked { rank, count: sidecars },
            false => Identity::Named(name_key(&format!("sidecar-{rank}"))),
        };
        (0..sidecars).map(|rank| ServerRanking::new(identity(rank))).collect()
    }

    /// What a sidecar knows of servers with these keys, where it has little traffic.
    fn members(order: &ServerRanking, keys: &[u64], size: usize) -> Vec<usize> {
        let mut by_depth: Vec<(u64, usize)> =
            keys.iter().enumerate().map(|(at, key)| (order.position(*key, 1.0), at)).collect();
        if size < by_depth.len() {
            by_depth.select_nth_unstable(size);
        }
        by_depth.into_iter().take(size).map(|(_, at)| at).collect()
    }

    /// The largest load over the mean where each request goes to the less loaded of two members of a random sidecar.
    fn unevenness(known: &[Vec<usize>], servers: usize) -> f64 {
        let (mut loads, mut rng) = (vec![0.0f64; servers], Rand64::new(11));
        let requests = 100 * servers;
        for _ in 0..requests {
            let members = &known[rng.rand_range(0..known.len() as u64) as usize];
            let [a, b] = [(); 2].map(|()| members[rng.rand_range(0..members.len() as u64) as usize]);
            let to = if loads[b] < loads[a] { b } else { a };
            loads[to] += 1.0;
        }
        loads.into_iter().fold(0.0, f64::max) * servers as f64 / requests as f64
    }

    #[test]
    fn load_is_spread_as_evenly_as_over_the_whole_list() {
        for (sidecars, servers) in
            [(10, 10), (10, 2_000), (30, 200), (300, 200), (300, 2_000), (5_000, 50), (5_000, 2_000)]
        {
            let keys: Vec<u64> = (0..servers as u64).map(mix).collect();
            let whole = unevenness(&[(0..servers).collect()], servers);
            for ranked in [true, false] {
                let size = SubsetSize::default().target(0.0, servers, sidecars);
                let known: Vec<Vec<usize>> =
                    orders(sidecars, ranked).iter().map(|order| members(order, &keys, size)).collect();
                let uneven = unevenness(&known, servers);
                println!(
                    "{sidecars} sidecars, {servers} servers, size {size}, ranked {ranked}: {uneven:.3}, whole {whole:.3}"
                );
                assert!(
                    uneven <= 1.25,
                    "{sidecars} sidecars, {servers} servers, {ranked}: {uneven}, whole {whole}"
                );
            }
        }
    }

    #[test]
    fn one_change_moves_few_pairs() {
        for (sidecars, servers, ranked) in
            [(300, 200, true), (300, 200, false), (50, 1_000, true), (1_000, 30, true)]
        {
            let keys: Vec<u64> = (0..servers as u64 + 1).map(mix).collect();
            let size = SubsetSize::default().target(0.0, servers, sidecars);
            let (mut pairs, mut moved) = (0, 0);
            for order in orders(sidecars, ranked) {
                let [mut with, mut without] =
                    [&keys[..], &keys[..servers]].map(|keys| members(&order, keys, size));
                with.sort_unstable();
                without.sort_unstable();
                pairs += size;
                moved += with.iter().filter(|server| without.binary_search(server).is_err()).count();
            }
            let most = 2.0 / servers as f64 * pairs as f64;
            assert!(moved as f64 <= most, "{sidecars}, {servers}: {moved} of {pairs}, {most} allowed");
        }
    }

    /// Guards the bound on cold servers: numbered sidecars own each of them exactly so many at most.
    #[test]
    fn so_many_own_a_server_and_no_more() {
        for sidecars in [1, 2, 7, 48, 300, 307] {
            let (ranked, named) = (orders(sidecars, true), orders(sidecars, false));
            let owners = |orders: &[ServerRanking], key: u64| {
                orders.iter().filter(|order| order.is_owner(4, sidecars, key)).count() as f64
            };
            let mut all = 0.0;
            for server in 0..500 {
                let count = owners(&ranked, mix(server));
                assert!(count <= 4.0, "{count} of {sidecars}");
                all += count;
                let named = owners(&named, mix(server));
                assert!(
                    named <= ServerRanking::new(Identity::Named(1)).max_owners(4) + 3.0,
                    "{named} of {sidecars}"
                );
            }
            let mean = all / 500.0;
            assert!(
                mean > 0.8 * f64::from(sidecars.min(4)) * f64::from(sidecars) / f64::from(sidecars + 7),
                "{mean}"
            );
        }
    }

    #[test]
    fn weight_is_known_to_more() {
        let orders = orders(300, true);
        let keys: Vec<u64> = (0..200).map(mix).collect();
        let mut known = [0usize; 2];
        for order in &orders {
            let mut by_depth: Vec<(u64, usize)> = keys
                .iter()
                .enumerate()
                .map(|(at, key)| (order.position(*key, if at < 20 { 4.0 } else { 1.0 }), at))
                .collect();
            by_depth.sort_unstable();
            by_depth.iter().take(16).for_each(|(_, at)| known[usize::from(*at >= 20)] += 1);
        }
        let ratio = (known[0] as f64 / 20.0) / (known[1] as f64 / 180.0);
        assert!((3.0..5.0).contains(&ratio), "{ratio}");
    }

    #[test]
    fn size_follows_traffic_at_once_upwards_and_slowly_down() {
        let mut size = SubsetSize::default();
        let quiet = size.target(0.0, 200, 300);
        assert_eq!(quiet, LEAST as usize, "one that has seen nothing yet");
        let mut now = 0.0;
        for _ in 0..1_000 {
            now += 2.0;
            size.record_arrival(now);
        }
        let busy = size.target(now, 200, 300);
        assert!(busy >= 150, "500 a second for 2 s: {busy}");
        assert!(size.target(now + 1_000.0, 200, 300) > 60, "a pause of a second is no lull");
        assert_eq!(size.target(now + 300_000.0, 200, 300), quiet);
        assert_eq!(size.target(now, 3, 300), 3, "no more than there are");
        assert_eq!(size.target(now + 300_000.0, 0, 300), 0);
    }

    #[test]
    fn it_widens_at_once_and_narrows_slowly() {
        let mut size = SubsetSize::default();
        let least = size.target(0.0, 200, 300);
        (0..20).for_each(|_| size.widen());
        let wide = size.target(0.0, 200, 300);
        assert!(wide >= least + 20, "{wide}");
        size.review(200);
        size.review(200);
        assert!(size.target(0.0, 200, 300) > least + 10, "not at once");
        (0..200).for_each(|_| size.review(200));
        assert_eq!(size.target(0.0, 200, 300), least);
    }

    #[test]
    fn keys_are_what_they_were() {
        assert_eq!(name_key(""), mix(0xCBF2_9CE4_8422_2325));
        assert_ne!(name_key("s-1"), name_key("s-2"));
        let [a, b] = [(); 2]
            .map(|()| ServerRanking::new(Identity::Named(name_key("n3"))).position(name_key("s-1"), 1.0));
        assert_eq!(a, b, "the same after a restart, and in both processes of an upgrade");
    }
}
