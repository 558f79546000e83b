//! Datagrams on their way to clients: collected while sockets are read, and sent in one call (`sendmmsg(2)`).

use std::io::{self, IoSlice};
use std::net::{SocketAddr, UdpSocket};

use rustix::net::{MMsgHdr, SendAncillaryBuffer, SendFlags, SocketAddrAny, sendmmsg};

/// So many are collected at most; further ones have those before sent first.
const AT_ONCE: usize = 32;
/// And so many bytes: two of the largest datagrams.
const BYTES: usize = 128 << 10;

/// Collected datagrams.
#[derive(Default)]
pub struct Replies {
    bytes: Vec<u8>,
    each: Vec<(SocketAddr, usize, usize)>,
}

impl Replies {
    /// Whether one more of this size has no place.
    pub fn is_full_for(&self, length: usize) -> bool {
        self.each.len() >= AT_ONCE || !self.each.is_empty() && self.bytes.len() + length > BYTES
    }

    /// Adds one.
    pub fn push(&mut self, to: SocketAddr, payload: &[u8]) {
        self.each.push((to, self.bytes.len(), payload.len()));
        self.bytes.extend_from_slice(payload);
    }

    /// Sends all. Those that could not be are told, with their length and why.
    pub fn flush(&mut self, socket: &UdpSocket, mut unsent: impl FnMut(usize, &io::Error)) {
        if self.each.is_empty() {
            return;
        }
        // One alone needs no list made of it.
        if let [(to, at, length)] = self.each[..] {
            if let Err(error) = socket.send_to(&self.bytes[at..at + length], to) {
                unsent(length, &error);
            }
            self.bytes.clear();
            return self.each.clear();
        }
        let addresses: Vec<SocketAddrAny> =
            self.each.iter().map(|(to, ..)| SocketAddrAny::from(*to)).collect();
        let slices: Vec<[IoSlice<'_>; 1]> =
            self.each.iter().map(|(_, at, len)| [IoSlice::new(&self.bytes[*at..at + len])]).collect();
        let mut none: Vec<SendAncillaryBuffer<'_, '_, '_>> =
            self.each.iter().map(|_| SendAncillaryBuffer::default()).collect();
        let parts = addresses.iter().zip(&slices).zip(&mut none);
        let mut messages: Vec<MMsgHdr<'_>> =
            parts.map(|((to, slice), none)| MMsgHdr::new_with_addr(to, slice, none)).collect();
        let mut next = 0;
        while next < messages.len() {
            match sendmmsg(socket, &mut messages[next..], SendFlags::empty()) {
                Ok(sent) if sent > 0 => next += sent,
                Err(rustix::io::Errno::INTR) => {}
                // The first one of those left is the one that could not be sent; the others still may be.
                result => {
                    let error = result.err().map_or_else(|| io::ErrorKind::WriteZero.into(), io::Error::from);
                    unsent(self.each[next].2, &error);
                    next += 1;
                }
            }
        }
        drop(messages);
        self.bytes.clear();
        self.each.clear();
    }
}
