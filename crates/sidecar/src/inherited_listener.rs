//! A listening socket that the platform keeps open and that every process of a sidecar inherits, given by the
//! number of its descriptor.

use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;

use anyhow::{Context, Result, bail};
use rustix::net::{SocketType, sockopt};
use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};

/// Descriptors 0 to 2 are standard input, output and error.
const MIN_DESCRIPTOR: i32 = 3;

/// Duplicates an inherited listening socket to a new descriptor that is closed on exec. The socket must
/// listen on the configured address over TCP; a configured port of 0 allows any port.
///
/// # Errors
/// The text is not the number of a descriptor, no such descriptor is open, or it is not such a socket.
pub fn adopt(descriptor: &str, configured: SocketAddr) -> Result<TcpListener> {
    let number = descriptor.parse().ok().filter(|number| *number >= MIN_DESCRIPTOR);
    let number: i32 =
        number.with_context(|| format!("{descriptor:?} is not the number of an inherited descriptor"))?;
    let this_process =
        pidfd_open(getpid(), PidfdFlags::empty()).context("cannot open this process's pidfd")?;
    let socket: OwnedFd = pidfd_getfd(&this_process, number, PidfdGetfdFlags::empty())
        .with_context(|| format!("cannot duplicate descriptor {number}"))?;
    let socket_type = sockopt::socket_type(&socket).with_context(|| format!("descriptor {number}"))?;
    if socket_type != SocketType::STREAM || !sockopt::socket_acceptconn(&socket).unwrap_or(false) {
        bail!("descriptor {number} is not a listening TCP socket");
    }
    let listener = TcpListener::from(socket);
    let actual = listener.local_addr().with_context(|| format!("descriptor {number} is not a TCP socket"))?;
    if actual.ip() != configured.ip() || (configured.port() != 0 && actual.port() != configured.port()) {
        bail!("descriptor {number} listens on {actual}, but the configuration says {configured}");
    }
    listener.set_nonblocking(true)?;
    Ok(listener)
}

#[cfg(test)]
mod tests {
    use std::os::fd::AsRawFd;

    use super::*;

    #[test]
    fn only_a_listening_tcp_socket_of_the_configured_address_is_adopted() {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let number = listener.as_raw_fd().to_string();
        let adopted = adopt(&number, address).unwrap();
        assert_eq!(adopted.local_addr().unwrap(), address);
        drop(listener);
        let client = std::net::TcpStream::connect(address).expect("the new descriptor still listens");
        assert!(adopt(&adopted.as_raw_fd().to_string(), "127.0.0.1:0".parse().unwrap()).is_ok());

        let other_address = "127.0.0.1:9".parse().unwrap();
        assert!(adopt(&adopted.as_raw_fd().to_string(), other_address).is_err(), "another address");
        let udp_socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
        let file = std::fs::File::open("/proc/self/exe").unwrap();
        let (unix_socket, _remote) = std::os::unix::net::UnixStream::pair().unwrap();
        let unsuitable =
            [udp_socket.as_raw_fd(), file.as_raw_fd(), client.as_raw_fd(), unix_socket.as_raw_fd()]
                .map(|fd| fd.to_string());
        let rejected =
            unsuitable.iter().map(String::as_str).chain(["", "x", "-1", "0", "3.0", "999999", "99999999999"]);
        for descriptor in rejected {
            let error = adopt(descriptor, address).expect_err(descriptor);
            assert_eq!(format!("{error:#}").lines().count(), 1);
        }
    }
}
