//! What the kernel counts of a socket: datagrams that it dropped since nobody read them (`/proc/net/udp`, proc(5)).

use std::os::fd::AsFd;

/// The datagrams that the kernel dropped at a socket for want of buffer; `None` where it does not tell.
pub fn drops(socket: impl AsFd, v6: bool) -> Option<u64> {
    let inode = rustix::fs::fstat(socket).ok()?.st_ino;
    let table = if v6 { "/proc/self/net/udp6" } else { "/proc/self/net/udp" };
    dropped(&std::fs::read_to_string(table).ok()?, inode)
}

/// Reads it from the text of the table: the tenth column is the inode, the last one the count.
fn dropped(table: &str, inode: u64) -> Option<u64> {
    let line = table
        .lines()
        .skip(1)
        .find(|line| line.split_whitespace().nth(9).and_then(|field| field.parse().ok()) == Some(inode))?;
    line.split_whitespace().nth(12)?.parse().ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_count_of_one_socket_is_read() {
        let table = "   sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid  timeout inode \
                     ref pointer drops\n  12: 0100007F:1BBC 00000000:0000 07 00000000:00000000 00:00000000 00000000  \
                     0 0 4711 2 0000000000000000 39\n  13: x\n";
        assert_eq!((dropped(table, 4711), dropped(table, 4712)), (Some(39), None));
    }

    #[test]
    fn a_socket_of_our_own_is_found() {
        let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a socket");
        if std::path::Path::new("/proc/self/net/udp").exists() {
            assert_eq!(drops(&socket, false), Some(0));
        }
    }
}
