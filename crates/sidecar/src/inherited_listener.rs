//! A listening socket that the platform holds and every process of a sidecar inherits, named by its descriptor.

use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;

use anyhow::{Context, Result, bail};
use rustix::net::{SocketType, sockopt};
use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};

/// Standard input, output and error are no listening sockets of ours.
const FIRST: i32 = 3;

/// Takes the socket over, under a descriptor of its own that is closed on exec. It must be a listening TCP socket of the
/// address where clients connect; a port of 0 there stands for any.
///
/// # Errors
/// The text is no number of a descriptor, there is none of that number, or it is another kind of thing.
pub fn adopt(descriptor: &str, listen: SocketAddr) -> Result<TcpListener> {
    let number = descriptor.parse().ok().filter(|number| *number >= FIRST);
    let number: i32 = number.with_context(|| format!("{descriptor:?} is no number of a descriptor"))?;
    let this = pidfd_open(getpid(), PidfdFlags::empty()).context("this process cannot be named")?;
    let socket: OwnedFd = pidfd_getfd(&this, number, PidfdGetfdFlags::empty())
        .with_context(|| format!("descriptor {number} cannot be taken over"))?;
    let kind = sockopt::socket_type(&socket).with_context(|| format!("descriptor {number}"))?;
    if kind != SocketType::STREAM || !sockopt::socket_acceptconn(&socket).unwrap_or(false) {
        bail!("descriptor {number} is no listening TCP socket");
    }
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().with_context(|| format!("descriptor {number} is no TCP socket"))?;
    if address.ip() != listen.ip() || (listen.port() != 0 && address.port() != listen.port()) {
        bail!("descriptor {number} listens on {address}, and the configuration says {listen}");
    }
    listener.set_nonblocking(true)?;
    Ok(listener)
}

#[cfg(test)]
mod tests {
    use std::os::fd::AsRawFd;

    use super::*;

    #[test]
    fn a_listening_socket_is_taken_and_all_else_is_told() {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let number = listener.as_raw_fd().to_string();
        let taken = adopt(&number, address).unwrap();
        assert_eq!(taken.local_addr().unwrap(), address);
        drop(listener);
        let client = std::net::TcpStream::connect(address).expect("it listens on under the new descriptor");
        assert!(adopt(&taken.as_raw_fd().to_string(), "127.0.0.1:0".parse().unwrap()).is_ok());

        let other = "127.0.0.1:9".parse().unwrap();
        assert!(adopt(&taken.as_raw_fd().to_string(), other).is_err(), "another address");
        let datagrams = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
        let file = std::fs::File::open("/proc/self/exe").unwrap();
        let (local, _remote) = std::os::unix::net::UnixStream::pair().unwrap();
        let unix = [datagrams.as_raw_fd(), file.as_raw_fd(), client.as_raw_fd(), local.as_raw_fd()]
            .map(|fd| fd.to_string());
        let told =
            unix.iter().map(String::as_str).chain(["", "x", "-1", "0", "3.0", "999999", "99999999999"]);
        for descriptor in told {
            let error = adopt(descriptor, address).expect_err(descriptor);
            assert_eq!(format!("{error:#}").lines().count(), 1);
        }
    }
}
