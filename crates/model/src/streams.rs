//! Random numbers: one independent stream for each actor, so that another policy, or one actor more, leaves what all
//! others draw as it was.

use oorandom::Rand64;

/// Who draws.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Actor {
    /// The clients of a sidecar: when they ask, for what, and how much work it is.
    Clients(u64),
    /// A client's own second thoughts: by the number of its request.
    Client(u64),
    /// A server: its speed, its reports.
    Server(u64),
    /// The policy of a sidecar.
    Policy(u64),
    /// What goes wrong, and to whom.
    Faults,
    /// Resampling in statistics.
    Bootstrap,
}

/// The stream of an actor on a day with this seed.
pub fn stream(seed: u64, actor: Actor) -> Rand64 {
    let (kind, number) = match actor {
        Actor::Clients(number) => (1, number),
        Actor::Client(number) => (2, number),
        Actor::Server(number) => (3, number),
        Actor::Policy(number) => (4, number),
        Actor::Faults => (5, 0),
        Actor::Bootstrap => (6, 0),
    };
    let low = mix(seed ^ mix(kind << 56 ^ number));
    Rand64::new(u128::from(mix(low ^ seed.rotate_left(32))) << 64 | u128::from(low))
}

/// SplitMix64's finaliser (Steele, Lea, Flood, OOPSLA 2014): each bit of the input bears on each of the output.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}

/// Draws that more than one actor needs.
pub trait Draw {
    /// Exponential with this mean.
    fn exponential(&mut self, mean: f64) -> f64;
    /// Standard normal, by Box and Muller.
    fn normal(&mut self) -> f64;
    /// One of so many, at least one.
    fn index(&mut self, count: usize) -> usize;
}

impl Draw for Rand64 {
    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rand_float()).ln()
    }

    fn normal(&mut self) -> f64 {
        let radius = (-2.0 * (1.0 - self.rand_float()).ln()).sqrt();
        radius * (std::f64::consts::TAU * self.rand_float()).cos()
    }

    fn index(&mut self, count: usize) -> usize {
        self.rand_range(0..count.max(1) as u64) as usize
    }
}
