//! The ranking of servers by one sidecar and the target size of its subset. The members are
//! determined in the module `fleet`.
//!
//! Every server has its own order of all sidecars, derived from its name, and a sidecar takes the servers in
//! whose order it comes early. The first sidecars in a server's order are its owners. Their number does not
//! depend on other servers that come and go, and sidecars have to agree on nothing but how many they are.

use crate::api::{Identity, Millis};

/// Mixes the bits of a number: the finalizer of SplitMix64 (Steele, Lea, Flood 2014).
pub fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9E37_79B9_7F4A_7C15);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}

/// The key of a name: FNV-1a, mixed. The function must not change, because two versions of the program have
/// to agree on it.
pub fn name_key(name: &str) -> u64 {
    let fnv = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01B3);
    mix(name.bytes().fold(0xCBF2_9CE4_8422_2325, fnv))
}

/// Weights are rounded to a power of this: lists state them roughly, and some lists change them all
/// the time.
const WEIGHT_STEP_FACTOR: f64 = 2.0;
/// Weights further from 1 than this many steps are taken for typing errors and limited.
const MAX_WEIGHT_STEPS: f64 = 10.0;
/// More sidecars than any tier has. Keeps products with a rank within 64 bits.
const MAX_SIDECARS: u64 = 1 << 24;
/// Margin for the owners of a server with named sidecars, in standard deviations of a Poisson-distributed
/// count.
const OWNER_MARGIN_SIGMAS: f64 = 3.0;

/// The order in which one sidecar takes servers into its subset.
#[derive(Debug, Clone, Copy)]
pub struct ServerRanking {
    identity: Identity,
    /// With ranked sidecars, the least prime that is not below their number.
    prime: u64,
}

impl ServerRanking {
    /// The ranking by the sidecar with this identity.
    pub fn new(identity: Identity) -> ServerRanking {
        let Identity::Ranked { rank, count } = identity else { return ServerRanking { identity, prime: 2 } };
        let sidecars = u64::from(count).clamp(1, MAX_SIDECARS);
        let is_prime = |n: &u64| *n >= 2 && (2..).take_while(|d| d * d <= *n).all(|d| !n.is_multiple_of(d));
        let prime = (sidecars.max(2)..).find(is_prime).unwrap_or(2);
        let (rank, count) = (rank % sidecars as u32, sidecars as u32);
        ServerRanking { identity: Identity::Ranked { rank, count }, prime }
    }

    /// Whether the subset always holds all servers.
    pub fn includes_all(&self) -> bool {
        self.identity == Identity::Anonymous
    }

    /// This sidecar's place in the order of one server, from 0 to 1. Ranked sidecars all have different
    /// places, because a line over a field of prime size takes each value once (Carter and Wegman 1979). The
    /// place of a named sidecar is a hash of both names (rendezvous hashing: Thaler and Ravishankar 1998).
    fn place_in_order_of(&self, server_key: u64) -> f64 {
        let unit = |bits: u64| (bits >> 11) as f64 / (1u64 << 53) as f64;
        match self.identity {
            Identity::Anonymous => 0.0,
            Identity::Named(sidecar_key) => unit(mix(sidecar_key ^ mix(server_key))),
            Identity::Ranked { rank, .. } => {
                let step = 1 + mix(server_key ^ 1) % (self.prime - 1);
                let first = mix(server_key ^ 2) % self.prime;
                let place = (step * u64::from(rank) + first) % self.prime;
                // The fraction orders servers for which this sidecar has the same place.
                (place as f64 + unit(mix(server_key ^ 3))) / self.prime as f64
            }
        }
    }

    /// Position of a server in this ranking; the smallest come first. A server of twice the weight is in the
    /// subsets of twice as many sidecars.
    pub fn position(&self, server_key: u64, weight: f64) -> u64 {
        let steps = weight.max(f64::MIN_POSITIVE).ln() / WEIGHT_STEP_FACTOR.ln();
        let weight = WEIGHT_STEP_FACTOR.powf(steps.round().clamp(-MAX_WEIGHT_STEPS, MAX_WEIGHT_STEPS));
        (self.place_in_order_of(server_key) / weight * (1u64 << 40) as f64) as u64
    }

    /// Whether this sidecar is among the first `owners` of all `sidecars` in the order of a server.
    pub fn is_owner(&self, owners: u32, sidecars: u32, server_key: u64) -> bool {
        let place = self.place_in_order_of(server_key);
        match self.identity {
            Identity::Anonymous => true,
            Identity::Named(_) => place * f64::from(sidecars.max(1)) < f64::from(owners),
            Identity::Ranked { .. } => (place * self.prime as f64) < f64::from(owners),
        }
    }

    /// Upper bound for the sidecars that are owners where `owners` are intended: hashes of names give that
    /// number only on average.
    pub fn max_owners(&self, owners: u32) -> f64 {
        let owners = f64::from(owners);
        if matches!(self.identity, Identity::Named(_)) {
            owners + OWNER_MARGIN_SIGMAS * owners.sqrt()
        } else {
            owners
        }
    }
}

/// Minimum target size: with two in five members ejected, and one in three of the rest warming up or
/// draining, three are left to sample from.
const MIN_SUBSET_SIZE: f64 = 8.0;
/// Minimum mean number of subsets that a server is in: with fewer, some servers are left to one or two
/// sidecars.
const MIN_SUBSETS_PER_SERVER: f64 = 8.0;
/// Mean interval at which a member is sampled, so that its report is reused while it is accurate: queues
/// change within a few service times. Of 125, 250, 500 and 1,000 ms, 250 ms is best or equal in every
/// scenario of the simulation `fleet.toml`.
const MEMBER_SAMPLE_INTERVAL: Millis = 250.0;
/// The traffic is the larger of its averages over these windows: it rises at once and falls slowly.
const RATE_WINDOWS: [Millis; 2] = [2_000.0, 30_000.0];
/// The base size changes once the wanted size is at most the first or at least the second multiple of it.
const RESIZE_RATIOS: [f64; 2] = [0.7, 1.25];
/// Share of the extra members that is dropped in each interval in which none was needed.
const EXTRA_DECAY_SHARE: f64 = 0.1;
/// Interval at which extra members are reviewed: about as long as a report stays valid.
const EXTRA_REVIEW_INTERVAL: Millis = 1_000.0;

/// The target size of one sidecar's subset.
#[derive(Debug, Clone)]
pub struct SubsetSize {
    /// Arrivals per millisecond, averaged over each of [`RATE_WINDOWS`], at the time `rates_at`.
    rates: [f64; 2],
    rates_at: Millis,
    /// Target size without the extra members.
    base: f64,
    /// Members on top of the base size, because the members lacked capacity that other servers had.
    extra: f64,
    /// Whether `extra` has grown since the last review.
    extra_needed: bool,
    reviewed_at: Millis,
}

impl Default for SubsetSize {
    fn default() -> SubsetSize {
        SubsetSize {
            rates: [0.0; 2],
            rates_at: 0.0,
            base: 0.0,
            extra: 0.0,
            extra_needed: false,
            reviewed_at: 0.0,
        }
    }
}

impl SubsetSize {
    /// Counts the arrival of a request.
    pub fn record_arrival(&mut self, now: Millis) {
        let elapsed = (now - self.rates_at).max(0.0);
        for (rate, window) in self.rates.iter_mut().zip(RATE_WINDOWS) {
            *rate = *rate * (-elapsed / window).exp() + 1.0 / window;
        }
        self.rates_at = now;
    }

    /// Arrivals per millisecond: the larger of the averages.
    fn rate(&self, now: Millis) -> f64 {
        let elapsed = (now - self.rates_at).max(0.0);
        let rates =
            self.rates.iter().zip(RATE_WINDOWS).map(|(rate, window)| rate * (-elapsed / window).exp());
        rates.fold(0.0, f64::max)
    }

    /// The target size for these numbers of servers and sidecars.
    pub fn target(&mut self, now: Millis, servers: usize, sidecars: u32) -> usize {
        if now >= self.reviewed_at + EXTRA_REVIEW_INTERVAL {
            self.reviewed_at = now;
            self.review_extra(servers);
        }
        let (servers, sidecars) = (servers as f64, f64::from(sidecars.max(1)));
        // A pair is sampled for each request.
        let by_traffic = 2.0 * self.rate(now) * MEMBER_SAMPLE_INTERVAL;
        let wanted =
            by_traffic.max(MIN_SUBSETS_PER_SERVER * servers / sidecars).max(MIN_SUBSET_SIZE).min(servers);
        let [lower, upper] = RESIZE_RATIOS.map(|ratio| ratio * self.base);
        // A size that includes all servers applies at once, however small the change.
        if wanted <= lower || wanted >= upper || wanted == servers {
            self.base = wanted;
        }
        (self.base + self.extra).min(servers).ceil() as usize
    }

    /// Adds a member, because the members had no capacity for a request and other servers had.
    pub fn widen(&mut self) {
        self.extra += 1.0;
        self.extra_needed = true;
    }

    /// Drops some of the extra members if none was needed since the last review.
    fn review_extra(&mut self, servers: usize) {
        self.extra = self.extra.min(servers as f64);
        if !std::mem::take(&mut self.extra_needed) {
            self.extra =
                if self.extra < 1.0 { 0.0 } else { self.extra - (EXTRA_DECAY_SHARE * self.extra).max(1.0) };
        }
    }
}

#[cfg(test)]
mod tests {
    use oorandom::Rand64;

    use super::*;

    fn rankings(sidecars: u32, ranked: bool) -> Vec<ServerRanking> {
        let identity = |rank| match ranked {
            true => Identity::Ranked { rank, count: sidecars },
            false => Identity::Named(name_key(&format!("sidecar-{rank}"))),
        };
        (0..sidecars).map(|rank| ServerRanking::new(identity(rank))).collect()
    }

    /// The subset of this size, as indices into the keys.
    fn members(ranking: &ServerRanking, keys: &[u64], size: usize) -> Vec<usize> {
        let mut by_position: Vec<(u64, usize)> =
            keys.iter().enumerate().map(|(index, key)| (ranking.position(*key, 1.0), index)).collect();
        if size < by_position.len() {
            by_position.select_nth_unstable(size);
        }
        by_position.into_iter().take(size).map(|(_, index)| index).collect()
    }

    /// The largest load over the mean where each request goes to the less loaded of two members of a random
    /// subset.
    fn max_load_over_mean(subsets: &[Vec<usize>], servers: usize) -> f64 {
        let (mut loads, mut rng) = (vec![0.0f64; servers], Rand64::new(11));
        let requests = 100 * servers;
        for _ in 0..requests {
            let members = &subsets[rng.rand_range(0..subsets.len() as u64) as usize];
            let [a, b] = [(); 2].map(|()| members[rng.rand_range(0..members.len() as u64) as usize]);
            let chosen = if loads[b] < loads[a] { b } else { a };
            loads[chosen] += 1.0;
        }
        loads.into_iter().fold(0.0, f64::max) * servers as f64 / requests as f64
    }

    #[test]
    fn largest_load_is_at_most_a_quarter_above_the_mean_with_subsets() {
        for (sidecars, servers) in
            [(10, 10), (10, 2_000), (30, 200), (300, 200), (300, 2_000), (5_000, 50), (5_000, 2_000)]
        {
            let keys: Vec<u64> = (0..servers as u64).map(mix).collect();
            let whole_list = max_load_over_mean(&[(0..servers).collect()], servers);
            for ranked in [true, false] {
                let size = SubsetSize::default().target(0.0, servers, sidecars);
                let subsets: Vec<Vec<usize>> =
                    rankings(sidecars, ranked).iter().map(|ranking| members(ranking, &keys, size)).collect();
                let max_load = max_load_over_mean(&subsets, servers);
                println!(
                    "{sidecars} sidecars, {servers} servers, subset size {size}, ranked {ranked}: \
                     largest load {max_load:.3} of the mean, {whole_list:.3} without subsets"
                );
                assert!(
                    max_load <= 1.25,
                    "{sidecars} sidecars, {servers} servers, ranked {ranked}: {max_load}, \
                     without subsets {whole_list}"
                );
            }
        }
    }

    #[test]
    fn added_server_changes_few_memberships() {
        for (sidecars, servers, ranked) in
            [(300, 200, true), (300, 200, false), (50, 1_000, true), (1_000, 30, true)]
        {
            let keys: Vec<u64> = (0..servers as u64 + 1).map(mix).collect();
            let size = SubsetSize::default().target(0.0, servers, sidecars);
            let (mut memberships, mut changed) = (0, 0);
            for ranking in rankings(sidecars, ranked) {
                let [mut with, mut without] =
                    [&keys[..], &keys[..servers]].map(|keys| members(&ranking, keys, size));
                with.sort_unstable();
                without.sort_unstable();
                memberships += size;
                changed += with.iter().filter(|server| without.binary_search(server).is_err()).count();
            }
            let max_changed = 2.0 / servers as f64 * memberships as f64;
            assert!(
                changed as f64 <= max_changed,
                "{sidecars} sidecars, {servers} servers: {changed} of {memberships} changed, \
                 {max_changed} allowed"
            );
        }
    }

    /// Guards the bound on requests to servers in slow start, which is split among a server's owners: ranked
    /// sidecars must not be more than intended.
    #[test]
    fn number_of_owners_of_a_server_is_bounded() {
        for sidecars in [1, 2, 7, 48, 300, 307] {
            let (ranked, named) = (rankings(sidecars, true), rankings(sidecars, false));
            let count_owners = |rankings: &[ServerRanking], key: u64| {
                rankings.iter().filter(|ranking| ranking.is_owner(4, sidecars, key)).count() as f64
            };
            let mut total = 0.0;
            for server in 0..500 {
                let owners = count_owners(&ranked, mix(server));
                assert!(owners <= 4.0, "{owners} owners of {sidecars} ranked sidecars");
                total += owners;
                let named_owners = count_owners(&named, mix(server));
                assert!(
                    named_owners <= ServerRanking::new(Identity::Named(1)).max_owners(4) + 3.0,
                    "{named_owners} owners of {sidecars} named sidecars"
                );
            }
            let mean = total / 500.0;
            assert!(
                mean > 0.8 * f64::from(sidecars.min(4)) * f64::from(sidecars) / f64::from(sidecars + 7),
                "{mean} owners on average of {sidecars} ranked sidecars"
            );
        }
    }

    #[test]
    fn server_of_four_times_the_weight_is_in_about_four_times_as_many_subsets() {
        let rankings = rankings(300, true);
        let keys: Vec<u64> = (0..200).map(mix).collect();
        let mut memberships = [0usize; 2];
        for ranking in &rankings {
            let mut by_position: Vec<(u64, usize)> = keys
                .iter()
                .enumerate()
                .map(|(index, key)| (ranking.position(*key, if index < 20 { 4.0 } else { 1.0 }), index))
                .collect();
            by_position.sort_unstable();
            by_position.iter().take(16).for_each(|(_, index)| memberships[usize::from(*index >= 20)] += 1);
        }
        let ratio = (memberships[0] as f64 / 20.0) / (memberships[1] as f64 / 180.0);
        assert!((3.0..5.0).contains(&ratio), "{ratio}");
    }

    #[test]
    fn size_grows_with_traffic_at_once_and_shrinks_slowly() {
        let mut size = SubsetSize::default();
        let idle = size.target(0.0, 200, 300);
        assert_eq!(idle, MIN_SUBSET_SIZE as usize, "before any traffic");
        let mut now = 0.0;
        for _ in 0..1_000 {
            now += 2.0;
            size.record_arrival(now);
        }
        let busy = size.target(now, 200, 300);
        assert!(busy >= 150, "after 500 requests per second for 2 s: {busy}");
        assert!(size.target(now + 1_000.0, 200, 300) > 60, "after a pause of 1 s");
        assert_eq!(size.target(now + 300_000.0, 200, 300), idle);
        assert_eq!(size.target(now, 3, 300), 3, "no more than all servers");
        assert_eq!(size.target(now + 300_000.0, 0, 300), 0);
    }

    #[test]
    fn size_grows_at_once_when_widened_and_shrinks_slowly() {
        let mut size = SubsetSize::default();
        let initial = size.target(0.0, 200, 300);
        (0..20).for_each(|_| size.widen());
        let widened = size.target(0.0, 200, 300);
        assert!(widened >= initial + 20, "{widened}");
        size.review_extra(200);
        size.review_extra(200);
        assert!(size.target(0.0, 200, 300) > initial + 10, "shrunk too soon");
        (0..200).for_each(|_| size.review_extra(200));
        assert_eq!(size.target(0.0, 200, 300), initial);
    }

    #[test]
    fn name_keys_and_positions_do_not_change() {
        assert_eq!(name_key(""), mix(0xCBF2_9CE4_8422_2325));
        assert_ne!(name_key("s-1"), name_key("s-2"));
        let [a, b] = [(); 2]
            .map(|()| ServerRanking::new(Identity::Named(name_key("n3"))).position(name_key("s-1"), 1.0));
        assert_eq!(a, b, "the same after a restart and in both processes of an upgrade");
    }
}
