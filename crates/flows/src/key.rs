//! By what flows are told apart, and which sources are one.

use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};

use crate::rules::{ID_BYTES, IdAt, Rules};

/// What a flow is found by.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Key {
    /// Where its datagrams come from.
    Address(SocketAddr),
    /// What they hold; shorter ids end in zeros.
    Id([u8; ID_BYTES]),
}

impl Key {
    /// Of a datagram. One that is too short for an id goes by its address.
    pub fn of(rules: &Rules, from: SocketAddr, payload: &[u8]) -> Key {
        let held = |IdAt { offset, length }: IdAt| payload.get(offset..offset.checked_add(length)?);
        match rules.id.and_then(held) {
            Some(bytes) => {
                let mut id = [0; ID_BYTES];
                id[..bytes.len()].copy_from_slice(bytes);
                Key::Id(id)
            }
            None => Key::Address(from),
        }
    }
}

/// A source: an address without its last bits, which one host or household may choose at will.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Prefix(u128);

impl Prefix {
    /// Of an address. IPv4 in IPv6 clothes (RFC 4291, 2.5.5.2) is IPv4.
    pub fn of(rules: &Rules, address: IpAddr) -> Prefix {
        match address.to_canonical() {
            IpAddr::V4(v4) => {
                let kept = u32::from(v4) & mask(rules.prefix_v4, 32) as u32;
                // Where IPv6 has no global addresses.
                Prefix(1 << 64 | u128::from(kept))
            }
            IpAddr::V6(v6) => Prefix(u128::from(v6) & mask(rules.prefix_v6, 128)),
        }
    }
}

/// So many leading bits of a word of so many.
fn mask(bits: u8, of: u8) -> u128 {
    let all = if of == 128 { u128::MAX } else { (1 << of) - 1 };
    all & !(all.checked_shr(u32::from(bits)).unwrap_or(0))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn prefixes_keep_their_first_bits() {
        let rules = Rules { prefix_v4: 24, prefix_v6: 56, ..Rules::default() };
        let of = |text: &str| Prefix::of(&rules, text.parse().expect("an address"));
        assert_eq!(of("127.0.3.1"), of("127.0.3.254"));
        assert_eq!(of("127.0.3.1"), of("::ffff:127.0.3.9"));
        assert_ne!(of("127.0.3.1"), of("127.0.4.1"));
        assert_eq!(of("2001:db8:0:1::1"), of("2001:db8:0:ff::1"));
        assert_ne!(of("2001:db8:0:100::1"), of("2001:db8::1"));
        let whole = Rules { prefix_v4: 32, ..Rules::default() };
        assert_ne!(Prefix::of(&whole, [127, 0, 0, 1].into()), Prefix::of(&whole, [127, 0, 0, 2].into()));
    }

    #[test]
    fn a_datagram_too_short_for_an_id_goes_by_its_address() {
        let rules = Rules { id: Some(IdAt { offset: 1, length: 4 }), ..Rules::default() };
        let from: SocketAddr = ([127, 0, 0, 1], 9).into();
        assert_eq!(Key::of(&rules, from, b"x"), Key::Address(from));
        assert_eq!(Key::of(&rules, from, b""), Key::Address(from));
        let mut id = [0; ID_BYTES];
        id[..4].copy_from_slice(b"abcd");
        assert_eq!(Key::of(&rules, from, b"xabcdefg"), Key::Id(id));
    }
}
