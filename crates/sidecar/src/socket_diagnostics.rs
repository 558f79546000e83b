//! Asks the kernel about a TCP socket of this machine that belongs to another process (netlink, `sock_diag(7)`).

use std::net::SocketAddr;

use netlink_packet_core::{NLM_F_REQUEST, NetlinkHeader, NetlinkMessage, NetlinkPayload};
use netlink_packet_sock_diag::SockDiagMessage;
use netlink_packet_sock_diag::constants::{
    AF_INET, AF_INET6, IPPROTO_TCP, TCP_CLOSE, TCP_CLOSING, TCP_FIN_WAIT1, TCP_FIN_WAIT2, TCP_LAST_ACK,
    TCP_TIME_WAIT,
};
use netlink_packet_sock_diag::inet::{ExtensionFlags, InetRequest, SocketId, StateFlags};
use netlink_sys::Socket;
use netlink_sys::protocols::NETLINK_SOCK_DIAG;

/// The answer about one socket without extensions is much shorter.
const MAX_ANSWER_BYTES: usize = 4 << 10;
/// A cookie that matches every socket.
const ANY_COOKIE: [u8; 8] = [0xff; 8];

/// States of a socket whose process has closed it or shut down its write side.
const ENDED_STATES: [u8; 6] =
    [TCP_FIN_WAIT1, TCP_FIN_WAIT2, TCP_CLOSING, TCP_LAST_ACK, TCP_TIME_WAIT, TCP_CLOSE];

/// What the kernel tells about the sending side of a socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SenderStatus {
    /// Bytes written by its process, and not acknowledged by the remote side.
    pub queue_bytes: u64,
    /// Whether its process has closed it or shut down its write side. The remote side learns of that only
    /// behind the bytes of the queue.
    pub has_ended: bool,
}

/// The sending side of the socket with this local and remote address. `None` if the kernel knows no such
/// socket, or does not answer: the socket is on another machine or in another network namespace.
///
/// The query takes four calls to the kernel and never blocks.
pub fn sender_status(local: SocketAddr, remote: SocketAddr) -> Option<SenderStatus> {
    let (source_address, destination_address) = (local.ip().to_canonical(), remote.ip().to_canonical());
    let socket_id = SocketId {
        source_port: local.port(),
        destination_port: remote.port(),
        source_address,
        destination_address,
        interface_id: 0,
        cookie: ANY_COOKIE,
    };
    let request = InetRequest {
        family: if source_address.is_ipv4() { AF_INET } else { AF_INET6 },
        protocol: IPPROTO_TCP,
        extensions: ExtensionFlags::empty(),
        states: StateFlags::all(),
        socket_id,
    };
    let mut header = NetlinkHeader::default();
    header.flags = NLM_F_REQUEST;
    let mut message = NetlinkMessage::new(header, SockDiagMessage::InetRequest(request).into());
    message.finalize();
    let mut bytes = vec![0; message.buffer_len()];
    message.serialize(&mut bytes);
    // An unconnected netlink socket sends to the kernel, which answers before the call returns.
    let socket = Socket::new(NETLINK_SOCK_DIAG).ok()?;
    socket.set_non_blocking(true).ok()?;
    socket.send(&bytes, 0).ok()?;
    let mut answer = Vec::with_capacity(MAX_ANSWER_BYTES);
    socket.recv(&mut answer, 0).ok()?;
    match NetlinkMessage::<SockDiagMessage>::deserialize(&answer).ok()?.payload {
        NetlinkPayload::InnerMessage(SockDiagMessage::InetResponse(response))
            if connects(&response.header.socket_id, local, remote) =>
        {
            Some(SenderStatus {
                queue_bytes: u64::from(response.header.send_queue),
                has_ended: ENDED_STATES.contains(&response.header.state),
            })
        }
        _ => None,
    }
}

/// Whether a socket has this local and remote address. Without a connection between them, the kernel tells of a
/// socket that listens at the local one.
fn connects(socket: &SocketId, local: SocketAddr, remote: SocketAddr) -> bool {
    let source = (socket.source_address.to_canonical(), socket.source_port);
    let destination = (socket.destination_address.to_canonical(), socket.destination_port);
    source == (local.ip().to_canonical(), local.port())
        && destination == (remote.ip().to_canonical(), remote.port())
}

#[cfg(test)]
mod tests {
    use std::io::{Read, Write};
    use std::net::{TcpListener, TcpStream};

    use super::*;

    #[test]
    fn sender_status_of_a_local_peer_is_known_and_of_no_socket_is_not() {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (mut accepted, _) = listener.accept().unwrap();
        let (local, remote) = (client.local_addr().unwrap(), client.peer_addr().unwrap());
        let idle = SenderStatus { queue_bytes: 0, has_ended: false };
        assert_eq!(sender_status(local, remote), Some(idle));
        client.set_nonblocking(true).unwrap();
        let chunk = [0; 64 << 10];
        let mut written = 0;
        while let Ok(bytes) = client.write(&chunk) {
            written += bytes;
        }
        let SenderStatus { queue_bytes: queued, has_ended } = sender_status(local, remote).unwrap();
        assert!(queued > 0 && queued <= written as u64, "{queued} of {written}");
        assert!(!has_ended);
        client.shutdown(std::net::Shutdown::Write).unwrap();
        assert!(sender_status(local, remote).unwrap().has_ended, "its end is behind {queued} bytes");
        assert_eq!(accepted.read_to_end(&mut Vec::new()).unwrap(), written);
        drop((client, accepted));
        assert_eq!(sender_status(remote, remote), None);
    }
}
