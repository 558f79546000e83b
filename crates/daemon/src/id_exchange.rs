//! Shares the ids of open requests between a process and its successor, over their socket pair, from the moment at which the
//! successor accepts clients until one of the two ends. Runs on a thread of its own, so that neither the supervisor nor the
//! workers delay an answer.

use std::collections::HashMap;
use std::io;
use std::os::unix::net::UnixStream as StdStream;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use sagemast_sidecar::line_buffer::LineBuffer;
use sagemast_sidecar::request_ids::RequestIds;
use sagemast_sidecar::request_ids::exchange::{IdNotice, IdRequest};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::UnixStream;
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{Notify, mpsc};

use crate::plan::Name;

/// How long a process that ends waits until its last messages are written.
const FINISH_TIMEOUT: Duration = Duration::from_millis(100);
/// Size of one read.
const READ_CHUNK_BYTES: usize = 16 << 10;

/// The ids of the instances that two processes share, by name.
pub type SharedIds = Vec<(Name, RequestIds)>;

/// The socket pair to the other process, with the bytes that have been read from it already.
pub struct Link {
    /// This end of the pair.
    pub stream: StdStream,
    /// Bytes that have been read.
    pub lines: LineBuffer,
}

/// Which process the other one is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Peer {
    /// It decides about the ids of both processes.
    Predecessor,
    /// It asks this process about each id.
    Successor,
}

impl Peer {
    /// Shares these ids with the peer from now on. Nothing is lost before the exchange begins.
    pub fn connect(self, ids: &SharedIds) {
        for (_, ids) in ids {
            match self {
                Peer::Predecessor => ids.connect_predecessor(),
                Peer::Successor => ids.connect_successor(),
            }
        }
    }

    /// Shares these ids no more: the peer has ended.
    pub fn disconnect(self, ids: &SharedIds) {
        for (_, ids) in ids {
            match self {
                Peer::Predecessor => ids.disconnect_predecessor(),
                Peer::Successor => ids.disconnect_successor(),
            }
        }
    }
}

/// Messages about the ids of one instance, sent as one line.
#[derive(Debug, Default, Serialize, Deserialize)]
struct IdMessage {
    name: String,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    requests: Vec<IdRequest>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    notices: Vec<IdNotice>,
}

/// A running exchange. Dropping it does not end it.
pub struct IdExchange {
    finishing: Arc<Notify>,
    finished: Receiver<()>,
}

impl IdExchange {
    /// Starts to exchange messages with a connected peer. Calls `on_peer_end` when the peer has ended.
    pub fn start(
        link: Link,
        peer: Peer,
        ids: SharedIds,
        on_peer_end: impl FnOnce() + Send + 'static,
    ) -> IdExchange {
        let finishing = Arc::new(Notify::new());
        let (finish_sender, finished) = channel();
        let finish_notice = finishing.clone();
        std::thread::spawn(move || {
            // Without a runtime or with a broken link the peer counts as ended.
            let _ = exchange_until_end(link, &ids, &finish_notice);
            peer.disconnect(&ids);
            let _ = finish_sender.send(());
            on_peer_end();
        });
        IdExchange { finishing, finished }
    }

    /// Writes what is left to tell, and ends the exchange.
    pub fn finish(self) {
        self.finishing.notify_one();
        let _ = self.finished.recv_timeout(FINISH_TIMEOUT);
    }
}

/// Exchanges messages until the peer ends or `finishing` is notified.
fn exchange_until_end(link: Link, ids: &SharedIds, finishing: &Notify) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build()?;
    link.stream.set_read_timeout(None)?;
    link.stream.set_nonblocking(true)?;
    runtime.block_on(async {
        let (reader, writer) = UnixStream::from_std(link.stream)?.into_split();
        let (changed, changes) = mpsc::unbounded_channel();
        for (index, (_, ids)) in ids.iter().enumerate() {
            tokio::spawn(report_changes(index, ids.clone(), changed.clone()));
        }
        tokio::select! {
            result = read_messages(reader, link.lines, ids) => result,
            result = write_messages(writer, ids, changes, finishing) => result,
        }
    })
}

/// Reports whenever there may be something to send for an instance. Each report stands for at least one message, and these
/// are bounded.
async fn report_changes(index: usize, ids: RequestIds, changed: mpsc::UnboundedSender<usize>) {
    while changed.send(index).is_ok() {
        ids.wait_for_outgoing().await;
    }
}

async fn read_messages(mut reader: OwnedReadHalf, mut lines: LineBuffer, ids: &SharedIds) -> io::Result<()> {
    let by_name: HashMap<&str, &RequestIds> = ids.iter().map(|(name, ids)| (&**name, ids)).collect();
    let mut chunk = vec![0; READ_CHUNK_BYTES];
    loop {
        while let Some(line) = lines.next_line() {
            let message: IdMessage = serde_json::from_slice(&line).map_err(io::Error::other)?;
            if let Some(ids) = by_name.get(&*message.name) {
                ids.handle_requests(message.requests);
                ids.handle_notices(message.notices);
            }
        }
        let read = reader.read(&mut chunk).await?;
        if read == 0 {
            return Ok(());
        }
        lines.push(&chunk[..read]).map_err(io::Error::other)?;
    }
}

async fn write_messages(
    mut writer: OwnedWriteHalf,
    ids: &SharedIds,
    mut changes: mpsc::UnboundedReceiver<usize>,
    finishing: &Notify,
) -> io::Result<()> {
    loop {
        let changed = tokio::select! {
            changed = changes.recv() => changed.and_then(|index| ids.get(index)),
            () = finishing.notified() => break,
        };
        if let Some((name, ids)) = changed {
            writer.write_all(&outgoing_line(name, ids)).await?;
        }
    }
    for (name, ids) in ids {
        writer.write_all(&outgoing_line(name, ids)).await?;
    }
    Ok(())
}

/// The line with all that is to be sent for an instance; empty if there is nothing.
fn outgoing_line(name: &Name, ids: &RequestIds) -> Vec<u8> {
    let mut message = IdMessage { name: name.to_string(), ..IdMessage::default() };
    ids.send_requests(|requests| {
        message.requests = requests.to_vec();
        true
    });
    ids.send_notices(|notices| {
        message.notices = notices.to_vec();
        true
    });
    match message.requests.is_empty() && message.notices.is_empty() {
        true => Vec::new(),
        false => crate::frames::line(&message),
    }
}

#[cfg(test)]
mod tests {
    use sagemast_decide::api::Effect;

    use super::*;

    const LINE_BYTES: usize = 1 << 20;

    fn link(stream: StdStream) -> Link {
        Link { stream, lines: LineBuffer::new(LINE_BYTES) }
    }

    fn shared_ids() -> SharedIds {
        ["one", "two"].map(|name| (Name::from(name.to_owned()), RequestIds::default())).to_vec()
    }

    /// Guards against an id that goes out from both processes, and against one that is forgotten with its process.
    #[tokio::test]
    async fn id_is_denied_to_the_other_process_and_known_after_the_end_of_the_first() {
        let (first, second) = (shared_ids(), shared_ids());
        Peer::Successor.connect(&first);
        Peer::Predecessor.connect(&second);
        let (a, b) = StdStream::pair().unwrap();
        let predecessor = IdExchange::start(link(a), Peer::Successor, first.clone(), || {});
        let (ended, has_ended) = channel();
        let _successor = IdExchange::start(link(b), Peer::Predecessor, second.clone(), move || {
            let _ = ended.send(());
        });
        let effect = Effect::NonIdempotent;
        let open = first[0].1.claim("a", effect).await.expect("the predecessor decides alone");
        assert!(second[0].1.claim("a", effect).await.is_err(), "it is open in the predecessor");
        drop(second[1].1.claim("a", effect).await.expect("another instance has ids of its own"));
        let in_successor = second[0].1.claim("b", effect).await.expect("a new id");
        assert!(first[0].1.claim("b", effect).await.is_err(), "it is open in the successor");
        drop(in_successor);
        // Its client has left, and the process ends at once.
        drop(open.begin_attempt());
        drop(open);
        predecessor.finish();
        has_ended.recv_timeout(Duration::from_secs(10)).expect("the end is noticed");
        assert!(second[0].1.claim("a", effect).await.is_err(), "it may have run in the predecessor");
        assert!(second[0].1.claim("c", effect).await.is_ok());
    }
}
