//! The watch of discovery for one listener, on a thread of its own.

use std::net::SocketAddr;

use sagemast_sidecar::discovery::{DiscoveryEvent, Watch};
use sagemast_sidecar::hosts::HostList;
use sagemast_sidecar::log::Log;
use sagemast_sidecar::messages::EventSink;
use sagemast_sidecar::watch_liveness::WatchTimeouts;
use tokio::sync::oneshot;

/// Ends the watch when it is dropped.
pub struct Watching(#[allow(dead_code)] oneshot::Sender<()>);

/// Watches discovery for good, and tells every list that comes.
pub fn watch(
    name: &str,
    address: SocketAddr,
    log: Log,
    tell: impl Fn(HostList) -> bool + Send + Sync + 'static,
) -> std::io::Result<Watching> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let (over, is_over) = oneshot::channel::<()>();
    let events = EventSink::from_fn(move |told| match told {
        DiscoveryEvent::ListReceived { list, .. } => tell(list),
        // What is known stands.
        DiscoveryEvent::Failed { .. } => true,
    });
    std::thread::Builder::new().name(format!("watch-{name}")).spawn(move || {
        runtime.block_on(async {
            let watch = Watch {
                address,
                id: 0,
                seq: 0,
                events,
                log,
                timeouts: WatchTimeouts::shared_service(),
                spread_position: 0.0,
                unresponsive_since: None,
            };
            tokio::select! {
                () = watch.run() => {}
                _ = is_over => {}
            }
        });
    })?;
    Ok(Watching(over))
}
