//! Clients that leave in every way, with and without bytes that nobody has read before the end, beside an upstream's connection in
//! each of its states.

use std::io::Write;
use std::net::{Shutdown, TcpListener};
use std::time::Duration;

use socket2::SockRef;

use super::*;

/// A socket, and its other end.
fn pair() -> (TcpStream, std::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (accepted, _) = listener.accept().unwrap();
    accepted.set_nonblocking(true).unwrap();
    (TcpStream::from_std(accepted).unwrap(), peer)
}

fn terms(client: &Shared, left: Duration) -> WriteConditions {
    WriteConditions { client: ClientConnection::of(client), until: Instant::now() + left }
}

const LONG: Duration = Duration::from_secs(60);

#[tokio::test]
async fn who_has_left_is_known_whatever_lies_before_the_end() {
    let (upstream, _peer) = pair();
    for unread in [0, 1, 100_000] {
        for leave in 0..3 {
            let (stream, mut client) = pair();
            let stream = Arc::new(Mutex::new(stream));
            let terms = terms(&stream, LONG);
            client.set_nonblocking(true).unwrap();
            // What does not go in stays out.
            let _ = client.write(&vec![b'x'; unread]);
            assert_eq!(
                look(&upstream, Some(&terms)).unwrap(),
                ConnectionCheck::Clear,
                "{unread} bytes are no end"
            );
            let held = match leave {
                0 => {
                    drop(client);
                    None
                }
                1 => {
                    client.shutdown(Shutdown::Write).unwrap();
                    Some(client)
                }
                _ => {
                    SockRef::from(&client).set_linger(Some(Duration::ZERO)).unwrap();
                    drop(client);
                    None
                }
            };
            assert_eq!(
                look(&upstream, Some(&terms)).unwrap(),
                ConnectionCheck::Unwanted,
                "{unread} bytes, way {leave}"
            );
            drop(held);
        }
    }
}

#[tokio::test]
async fn a_connection_that_is_closed_has_nobody_and_is_kept_open_by_nobody() {
    let ((upstream, _peer), (stream, mut client)) = (pair(), pair());
    let stream = Arc::new(Mutex::new(stream));
    let terms = terms(&stream, LONG);
    drop(stream);
    assert_eq!(look(&upstream, Some(&terms)).unwrap(), ConnectionCheck::Unwanted);
    assert_eq!(std::io::Read::read(&mut client, &mut [0; 1]).unwrap(), 0);
}

#[tokio::test]
async fn what_came_from_the_upstream_or_its_end_makes_its_connection_unusable_and_time_ends_it_all() {
    let (stream, _client) = pair();
    let stream = Arc::new(Mutex::new(stream));
    let terms = [LONG, Duration::ZERO].map(|left| terms(&stream, left));
    let (upstream, mut peer) = pair();
    for asked in [None, Some(&terms[0])] {
        assert_eq!(look(&upstream, asked).unwrap(), ConnectionCheck::Clear);
    }
    assert_eq!(look(&upstream, Some(&terms[1])).unwrap(), ConnectionCheck::Unwanted, "its time is up");
    peer.write_all(b"x").unwrap();
    for asked in [None, Some(&terms[0])] {
        assert_eq!(look(&upstream, asked).unwrap(), ConnectionCheck::Unusable);
    }
    let (upstream, peer) = pair();
    drop(peer);
    assert_eq!(look(&upstream, None).unwrap(), ConnectionCheck::Unusable);
}
