//! Tells the service manager how the daemon fares, where there is one: `sd_notify(3)`, a datagram to the socket that
//! `NOTIFY_SOCKET` names. The protocol is a line or two, so a crate for it would be mostly manifest.

use std::os::linux::net::SocketAddrExt;
use std::os::unix::net::{SocketAddr, UnixDatagram};

/// Sends a state such as `READY=1`. Without a service manager it does nothing; a failure changes nothing.
pub fn notify(state: &str) {
    let Ok(name) = std::env::var("NOTIFY_SOCKET") else { return };
    let address = match name.strip_prefix('@') {
        Some(name) => SocketAddr::from_abstract_name(name),
        None => SocketAddr::from_pathname(&name),
    };
    if let (Ok(socket), Ok(address)) = (UnixDatagram::unbound(), address) {
        let _ = socket.send_to_addr(state.as_bytes(), &address);
    }
}
