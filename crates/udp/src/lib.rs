//! UDP flows on real sockets. Each listener is one thread with one epoll set: the socket that clients send to, and a
//! connected socket a flow towards its server. What happens to a datagram is the word of `sagemast-flows`; here it is
//! read, sent and counted.

mod front;
mod kernel;
mod listener;
mod replies;
mod servers;
mod shared;
mod sockets;
mod watch;

pub use front::{Front, Keeper, Legacy, Order, View};
