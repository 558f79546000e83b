//! Making sockets, and sending by them.

use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::os::fd::OwnedFd;

use rustix::net::sockopt;
use sagemast_flows::api::Drop;
use socket2::{Domain, Protocol, Socket, Type};

/// The largest datagram: 65,535 bytes less the heads of IPv4 and UDP.
pub const DATAGRAM: usize = 65_507;

/// The socket that clients send to. Its buffers are what the kernel gives of what is asked for.
pub fn bind(listen: SocketAddr, buffer: usize) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::for_address(listen), Type::DGRAM.nonblocking(), Some(Protocol::UDP))?;
    socket.bind(&listen.into())?;
    let socket = UdpSocket::from(socket);
    enlarge(&socket, buffer);
    Ok(socket)
}

/// Asks for larger buffers.
pub fn enlarge(socket: &UdpSocket, buffer: usize) {
    let socket = socket2::SockRef::from(socket);
    // Smaller ones than asked for still serve; the kernel's drops are counted.
    let _ = socket.set_recv_buffer_size(buffer);
    let _ = socket.set_send_buffer_size(buffer);
}

/// Lets datagrams larger than a path's frame be sent in fragments, as they were before a library set otherwise.
pub fn let_fragment(socket: &UdpSocket) {
    let v4 = sockopt::set_ip_mtu_discover(socket, sockopt::Ipv4PathMtuDiscovery::WANT);
    if v4.is_err() {
        let _ = sockopt::set_ipv6_mtu_discover(socket, sockopt::Ipv6PathMtuDiscovery::WANT);
    }
}

/// A flow's socket: connected, so that the kernel tells of refusals (ICMP, RFC 1122, 4.1.3.3) and lets in nobody else.
/// With a port it is the one that the server knows the flow by, if that is free.
pub fn connect(to: SocketAddr, port: Option<u16>) -> io::Result<UdpSocket> {
    let any =
        if to.is_ipv4() { IpAddr::V4(Ipv4Addr::UNSPECIFIED) } else { IpAddr::V6(Ipv6Addr::UNSPECIFIED) };
    let make = |port: u16| {
        let socket = Socket::new(Domain::for_address(to), Type::DGRAM.nonblocking(), Some(Protocol::UDP))?;
        socket.bind(&SocketAddr::new(any, port).into())?;
        socket.connect(&to.into())?;
        Ok(UdpSocket::from(socket))
    };
    match port.map(make) {
        Some(Ok(socket)) => Ok(socket),
        _ => make(0),
    }
}

/// A socket that was handed over.
pub fn adopt(socket: OwnedFd) -> io::Result<UdpSocket> {
    let socket = UdpSocket::from(socket);
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// Why a datagram was not sent.
pub fn fault(error: &io::Error) -> Drop {
    use rustix::io::Errno;
    let errno = Errno::from_io_error(error);
    match errno {
        Some(Errno::AGAIN | Errno::NOBUFS | Errno::NOMEM) => Drop::Buffer,
        _ => Drop::Send,
    }
}

#[cfg(test)]
mod tests {
    use std::io::ErrorKind;

    use rustix::io::Errno;

    use super::*;

    #[test]
    fn what_the_kernel_says_is_told_apart() {
        let of = |errno: Errno| fault(&errno.into());
        for full in [Errno::AGAIN, Errno::NOBUFS, Errno::NOMEM] {
            assert_eq!(of(full), Drop::Buffer, "{full}");
        }
        for refused in [Errno::PERM, Errno::MSGSIZE, Errno::NETUNREACH, Errno::ACCESS] {
            assert_eq!(of(refused), Drop::Send, "{refused}");
        }
        assert_eq!(fault(&ErrorKind::NotConnected.into()), Drop::Send);
    }
}
