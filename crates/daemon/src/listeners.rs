//! The listening sockets of all instances. A socket belongs to a place, not to a generation: a successor accepts from
//! the same one as its predecessor, so that nothing that has connected is lost in between.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::sync::Arc;

use sagemast_sidecar::front;
use socket2::{SockFilter, SockRef};
use tokio::net::TcpListener;

use crate::config::Place;
use crate::plan::Name;
use crate::workers::Workers;

/// One listening socket.
struct Entry {
    listener: Arc<TcpListener>,
    address: SocketAddr,
    worker: usize,
    /// Generations and stand-ins that accept from it, or are about to, or were.
    users: usize,
    /// Whether it turns newcomers away, since it is about to be closed.
    shut: bool,
}

/// All of them.
#[derive(Default)]
pub struct Listeners {
    entries: HashMap<Place, Entry>,
    /// Handed over by a predecessor process and not in use yet.
    adopted: HashMap<Place, OwnedFd>,
    /// Ports that the system chose: an instance that is stopped and started again keeps its own.
    chosen: HashMap<Place, SocketAddr>,
}

impl Listeners {
    /// Takes over what a predecessor process has handed on.
    pub fn adopt(&mut self, sockets: HashMap<Place, OwnedFd>) {
        self.adopted = sockets;
    }

    /// Closes what was handed on and is not in use.
    pub fn forget_adopted(&mut self) {
        self.adopted.clear();
    }

    /// A listener for a new user, on the worker where the place's earlier users live unless that is stuck; binds one
    /// if there is none. The worker and the address come with it.
    pub fn take(
        &mut self,
        place: &Place,
        workers: &Workers,
    ) -> io::Result<(Arc<TcpListener>, usize, SocketAddr)> {
        if let Some(entry) = self.entries.get_mut(place) {
            if workers.is_stuck(entry.worker) {
                let worker = workers.choose();
                let socket = entry.listener.as_fd().try_clone_to_owned()?;
                (entry.listener, entry.worker) = (Arc::new(on_worker(socket, worker, workers)?), worker);
            }
            if std::mem::take(&mut entry.shut) {
                let _ = SockRef::from(&*entry.listener).detach_filter();
            }
            entry.users += 1;
            return Ok((entry.listener.clone(), entry.worker, entry.address));
        }
        let worker = workers.choose();
        let listener = match self.adopted.remove(place) {
            Some(socket) => on_worker(socket, worker, workers)?,
            None => {
                let (Place::At(address) | Place::Chosen(_, address)) = place;
                let address = self.chosen.get(place).unwrap_or(address);
                let bound = workers.within(worker, || front::listen(*address));
                bound.ok_or_else(no_worker)?.map_err(|error| io::Error::other(format!("{error:#}")))?
            }
        };
        let address = listener.local_addr()?;
        if matches!(place, Place::Chosen(..)) {
            self.chosen.insert(place.clone(), address);
        }
        let listener = Arc::new(listener);
        let entry = Entry { listener: listener.clone(), address, worker, users: 1, shut: false };
        self.entries.insert(place.clone(), entry);
        Ok((listener, worker, address))
    }

    /// A user is no more; with the last one the socket is closed.
    pub fn give_back(&mut self, place: &Place) {
        if let Some(entry) = self.entries.get_mut(place) {
            entry.users -= 1;
            if entry.users == 0 {
                self.entries.remove(place);
            }
        }
    }

    /// Has the kernel turn newcomers away, so that the queue runs dry and the socket can be closed without anyone
    /// being accepted and dropped: a filter that lets everything pass but the packet that opens a connection.
    /// False if that cannot be done; then a last one may be reset.
    pub fn shut(&mut self, place: &Place) -> bool {
        // Load the TCP flags; those with SYN are dropped (classic BPF; the packet begins with its TCP header).
        let no_syn = [
            SockFilter::new(0x30, 0, 0, 13),
            SockFilter::new(0x45, 0, 1, 0x02),
            SockFilter::new(0x06, 0, 0, 0),
            SockFilter::new(0x06, 0, 0, u32::MAX),
        ];
        let Some(entry) = self.entries.get_mut(place) else { return false };
        entry.shut = SockRef::from(&*entry.listener).attach_filter(&no_syn).is_ok();
        entry.shut
    }

    /// Forgets the ports that the system chose for instances that are no more.
    pub fn forget_chosen(&mut self, is_kept: impl Fn(&Name) -> bool) {
        self.chosen.retain(|place, _| matches!(place, Place::Chosen(name, _) if is_kept(name)));
    }

    /// Where the socket of a place is bound.
    pub fn address(&self, place: &Place) -> Option<SocketAddr> {
        self.entries.get(place).map(|entry| entry.address)
    }

    /// Whether a place has another user beside one.
    pub fn is_shared(&self, place: &Place) -> bool {
        self.entries.get(place).is_some_and(|entry| entry.users > 1)
    }

    /// All sockets that take newcomers, to hand them over.
    pub fn all(&self) -> Vec<(Place, Arc<TcpListener>)> {
        let open = self.entries.iter().filter(|(_, entry)| !entry.shut);
        open.map(|(place, entry)| (place.clone(), entry.listener.clone())).collect()
    }
}

fn no_worker() -> io::Error {
    io::Error::other("there is no such worker")
}

fn on_worker(socket: OwnedFd, worker: usize, workers: &Workers) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::from(socket);
    listener.set_nonblocking(true)?;
    workers.within(worker, || TcpListener::from_std(listener)).ok_or_else(no_worker)?
}
