//! The socket between processes of one sidecar, and the task that shares resource limits and host lists over
//! it.

use std::io;
use std::os::fd::{AsRawFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rustix::fs::{Mode, OFlags};
use rustix::net::sockopt;
use rustix::process::geteuid;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

use super::message::{HandoverState, MAX_LINE_BYTES, Message, VERSION};
use super::shares::{ProcessStatus, Shares};
use crate::budget::{Budgets, ResourceCounts};
use crate::instance::Control;
use crate::lifecycle::Stage;
use crate::line_buffer::LineBuffer;
use crate::log::Log;
use crate::request_ids::RequestIds;

const SOCKET_NAME: &str = "sagemast.sock";
/// The kernel limits the path of a socket to 107 bytes (`unix(7)`). A socket in a directory with a longer
/// path than this is reached by the descriptor of the directory.
const MAX_DIRECTORY_PATH_BYTES: usize = 90;
/// Time limit of the handshake. After it a successor starts without its predecessor.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay between connection attempts after a refused one. The socket may belong to a process that has ended,
/// or to one that another process is about to replace as the listener.
const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(30);
/// How long refused connections are retried.
const REFUSED_RETRY_PERIOD: Duration = Duration::from_millis(300);
/// Interval between status messages.
const STATUS_INTERVAL: Duration = Duration::from_millis(100);
/// Capacity of the message queues. A message to a peer whose queue is full is dropped: the status is sent
/// again, and each process has its own watch of discovery. Messages about request ids are kept until there is
/// room.
const MESSAGE_QUEUE_CAPACITY: usize = 64;
/// A peer that does not read a message within this time counts as ended.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a process that ends waits until its last messages are written.
const FINISH_TIMEOUT: Duration = Duration::from_millis(100);
/// Size of one read.
const READ_CHUNK_BYTES: usize = 16 << 10;

/// The directory of the socket, which all processes of a sidecar share.
#[derive(Debug, Clone)]
pub struct HandoverDirectory(PathBuf);

impl HandoverDirectory {
    /// `$TMPDIR`, if it is set to a directory.
    pub fn from_env() -> Option<HandoverDirectory> {
        let directory = PathBuf::from(std::env::var_os("TMPDIR")?);
        directory.is_dir().then_some(HandoverDirectory(directory))
    }

    /// A path in the directory that is short enough for a socket address, and a descriptor that must stay
    /// open while the path is used.
    fn address_path(&self, name: &str) -> io::Result<(PathBuf, Option<OwnedFd>)> {
        if self.0.as_os_str().len() <= MAX_DIRECTORY_PATH_BYTES {
            return Ok((self.0.join(name), None));
        }
        let flags = OFlags::PATH | OFlags::DIRECTORY | OFlags::CLOEXEC;
        let directory = rustix::fs::open(&self.0, flags, Mode::empty())?;
        let path = format!("/proc/self/fd/{}/{name}", directory.as_raw_fd());
        Ok((PathBuf::from(path), Some(directory)))
    }

    /// Listens on the socket, replacing the process that listened before.
    fn listen(&self) -> io::Result<UnixListener> {
        let temporary_name = format!("{SOCKET_NAME}.{}", std::process::id());
        let (path, _directory) = self.address_path(&temporary_name)?;
        let _ = std::fs::remove_file(&path);
        let listener = UnixListener::bind(&path)?;
        std::fs::rename(&path, self.0.join(SOCKET_NAME))?;
        Ok(listener)
    }

    async fn connect(&self) -> io::Result<UnixStream> {
        let (path, _directory) = self.address_path(SOCKET_NAME)?;
        UnixStream::connect(path).await
    }

    /// The path of the socket. It may be too long for a socket address.
    pub fn socket(&self) -> PathBuf {
        Path::new(&self.0).join(SOCKET_NAME)
    }
}

/// A connected predecessor that has sent its handover state.
pub struct Predecessor {
    stream: UnixStream,
    lines: LineBuffer,
    status: ProcessStatus,
    /// The state from which this process continues.
    pub handover_state: Option<Box<HandoverState>>,
}

impl Predecessor {
    /// Connects to the predecessor, if one runs. Failures are logged in one line.
    pub async fn connect(directory: &HandoverDirectory, log: &Log) -> Option<Predecessor> {
        let result = timeout(HANDSHAKE_TIMEOUT, Predecessor::try_connect(directory)).await;
        match result.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())) {
            Ok(predecessor) => predecessor,
            Err(error) => {
                log.line(format!("handover: starting without a predecessor: {error}"));
                None
            }
        }
    }

    async fn try_connect(directory: &HandoverDirectory) -> io::Result<Option<Predecessor>> {
        let mut waited = Duration::ZERO;
        let mut stream = loop {
            match directory.connect().await {
                Ok(stream) => break stream,
                Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
                Err(error)
                    if error.kind() == io::ErrorKind::ConnectionRefused && waited < REFUSED_RETRY_PERIOD =>
                {
                    sleep(REFUSED_RETRY_DELAY).await;
                    waited += REFUSED_RETRY_DELAY;
                }
                Err(error) => return Err(error),
            }
        };
        check_peer_user(&stream)?;
        stream.write_all(&Message::Hello { v: VERSION }.to_line()).await?;
        let mut lines = LineBuffer::new(MAX_LINE_BYTES);
        let Some(Message::HandoverState(state)) = read_message(&mut stream, &mut lines).await? else {
            return Err(io::Error::other("the predecessor sent no handover state"));
        };
        let Some(Message::Status(status)) = read_message(&mut stream, &mut lines).await? else {
            return Err(io::Error::other("the predecessor sent no status"));
        };
        Ok(Some(Predecessor { stream, lines, status, handover_state: Some(state) }))
    }
}

/// Fails unless the peer process runs as the same user: only such processes are trusted.
fn check_peer_user(stream: &UnixStream) -> io::Result<()> {
    match sockopt::socket_peercred(stream)?.uid == geteuid() {
        true => Ok(()),
        false => Err(io::Error::other("the peer process runs as another user")),
    }
}

/// Reads the next message; `None` at the end of the stream.
async fn read_message<R: AsyncReadExt + Unpin>(
    stream: &mut R,
    lines: &mut LineBuffer,
) -> io::Result<Option<Message>> {
    loop {
        if let Some(line) = lines.next_line() {
            return Message::parse(&line).map(Some).map_err(io::Error::other);
        }
        let mut chunk = [0; READ_CHUNK_BYTES];
        let read = stream.read(&mut chunk).await?;
        if read == 0 {
            return Ok(None);
        }
        lines.push(&chunk[..read]).map_err(io::Error::other)?;
    }
}

/// The position of a peer relative to this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PeerSide {
    Predecessor,
    Successor,
}

/// A message with the side and number of the peer that sent it. The message is `None` once the peer has
/// ended.
type PeerMessage = (PeerSide, u64, Option<Message>);

/// A connected peer. Dropping it ends its tasks and closes the connection.
struct Peer {
    number: u64,
    /// `None` once no more messages are to be sent.
    outgoing: Option<mpsc::Sender<Arc<Vec<u8>>>>,
    reader: JoinHandle<()>,
    writer: JoinHandle<()>,
}

impl Peer {
    fn new(
        stream: UnixStream,
        lines: LineBuffer,
        side: PeerSide,
        number: u64,
        incoming: mpsc::Sender<PeerMessage>,
    ) -> Peer {
        let (read_half, write_half) = stream.into_split();
        let (outgoing, outgoing_receiver) = mpsc::channel(MESSAGE_QUEUE_CAPACITY);
        let writer_incoming = incoming.clone();
        let reader = tokio::spawn(read_messages(read_half, lines, side, number, incoming));
        let writer = tokio::spawn(async move {
            write_lines(write_half, outgoing_receiver).await;
            let _ = writer_incoming.send((side, number, None)).await;
        });
        Peer { number, outgoing: Some(outgoing), reader, writer }
    }

    /// Returns whether the queue had room for the line: see [`MESSAGE_QUEUE_CAPACITY`].
    fn send(&self, line: &Arc<Vec<u8>>) -> bool {
        self.outgoing.as_ref().is_some_and(|outgoing| outgoing.try_send(line.clone()).is_ok())
    }

    /// Waits until all messages are written, and closes the connection.
    async fn finish(mut self) {
        self.outgoing = None;
        let _ = (&mut self.writer).await;
    }
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.reader.abort();
        self.writer.abort();
    }
}

async fn read_messages(
    mut stream: OwnedReadHalf,
    mut lines: LineBuffer,
    side: PeerSide,
    number: u64,
    incoming: mpsc::Sender<PeerMessage>,
) {
    // An invalid message is treated like the end of the stream.
    while let Ok(Some(message)) = read_message(&mut stream, &mut lines).await {
        if incoming.send((side, number, Some(message))).await.is_err() {
            return;
        }
    }
    let _ = incoming.send((side, number, None)).await;
}

async fn write_lines(mut stream: OwnedWriteHalf, mut outgoing: mpsc::Receiver<Arc<Vec<u8>>>) {
    while let Some(line) = outgoing.recv().await {
        if !matches!(timeout(WRITE_TIMEOUT, stream.write_all(&line)).await, Ok(Ok(()))) {
            return;
        }
    }
}

/// Shares the resource limits, host lists and request ids of this process with its predecessor and its
/// successor.
pub struct Succession {
    directory: HandoverDirectory,
    control: Control,
    budgets: Budgets,
    /// The configured limits, which all processes share.
    configured_limits: ResourceCounts,
    /// The configured number of sidecars.
    configured_sidecars: u32,
    request_ids: RequestIds,
    log: Log,
    shares: Shares,
    predecessor: Option<Peer>,
    successor: Option<Peer>,
    /// The process count from which the decision module's number of sidecars was last computed.
    applied_process_count: u32,
    /// Number of the latest peer. The predecessor has number 0.
    last_peer_number: u64,
    /// Whether the successor understands messages about request ids.
    successor_shares_ids: bool,
    successor_serving: Arc<AtomicBool>,
}

/// Handle of the task that runs a succession. Dropping it ends the task.
pub struct SuccessionHandle {
    task: JoinHandle<()>,
    started_serving: Arc<Notify>,
    finishing: Arc<Notify>,
    successor_serving: Arc<AtomicBool>,
}

impl SuccessionHandle {
    /// Reports that this process serves clients: from now on it listens for successors.
    pub fn set_serving(&self) {
        self.started_serving.notify_one();
    }

    /// Tells the other processes what is left to tell, and ends the task.
    pub async fn finish(mut self) {
        self.finishing.notify_one();
        // What a peer does not read in time is lost, as if this process had been killed.
        let _ = timeout(FINISH_TIMEOUT, &mut self.task).await;
    }

    /// Whether a successor serves clients.
    pub fn has_serving_successor(&self) -> bool {
        self.successor_serving.load(Ordering::Acquire)
    }
}

impl Drop for SuccessionHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts to share with the predecessor, if there is one, and with later successors.
pub fn run(
    directory: HandoverDirectory,
    predecessor: Option<Predecessor>,
    control: Control,
    budgets: Budgets,
    request_ids: RequestIds,
    configured_sidecars: u32,
    log: Log,
) -> SuccessionHandle {
    let configured_limits = budgets.limits();
    let (incoming, incoming_receiver) = mpsc::channel(MESSAGE_QUEUE_CAPACITY);
    let mut shares = Shares::new(configured_limits);
    shares.set_predecessor(predecessor.as_ref().map(|predecessor| predecessor.status));
    if predecessor.as_ref().is_some_and(|predecessor| predecessor.status.shares_request_ids) {
        request_ids.connect_predecessor();
    }
    let predecessor = predecessor.map(|predecessor| {
        Peer::new(predecessor.stream, predecessor.lines, PeerSide::Predecessor, 0, incoming.clone())
    });
    let successor_serving = Arc::new(AtomicBool::new(false));
    let mut succession = Succession {
        directory,
        control,
        budgets,
        configured_limits,
        configured_sidecars,
        request_ids,
        log,
        shares,
        predecessor,
        successor: None,
        applied_process_count: 1,
        last_peer_number: 1,
        successor_shares_ids: false,
        successor_serving: successor_serving.clone(),
    };
    // The reduced limits must apply before the first client connects.
    succession.apply_shares();
    let (started_serving, finishing) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let (serving_notice, finish_notice) = (started_serving.clone(), finishing.clone());
    let task = tokio::spawn(async move {
        tokio::select! {
            () = succession.run(serving_notice, incoming, incoming_receiver) => {}
            () = finish_notice.notified() => {}
        }
        succession.finish().await;
    });
    SuccessionHandle { task, started_serving, finishing, successor_serving }
}

impl Succession {
    async fn run(
        &mut self,
        started_serving: Arc<Notify>,
        incoming: mpsc::Sender<PeerMessage>,
        mut incoming_receiver: mpsc::Receiver<PeerMessage>,
    ) {
        let (lists, mut lists_receiver) = mpsc::channel(MESSAGE_QUEUE_CAPACITY);
        self.control.forward_lists(lists);
        let mut listener: Option<UnixListener> = None;
        let mut serving = false;
        let mut status_ticks = interval(STATUS_INTERVAL);
        status_ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            self.send_id_messages();
            let has_peers = self.predecessor.is_some() || self.successor.is_some();
            tokio::select! {
                () = started_serving.notified() => {
                    serving = true;
                    listener = self.listen();
                    // Sent at once: the predecessor may be about to end.
                    self.send_status();
                }
                accepted = accept(listener.as_ref()) => if let Ok((stream, _)) = accepted {
                    self.accept_successor(stream, &incoming).await;
                },
                Some(message) = incoming_receiver.recv() => {
                    let had_successor = self.successor.is_some();
                    self.handle(message);
                    // The successor may have replaced the socket before it ended, so listen again.
                    if had_successor && self.successor.is_none() && serving {
                        listener = self.listen();
                    }
                }
                () = self.request_ids.wait_for_outgoing() => {}
                Some(list) = lists_receiver.recv(), if has_peers => {
                    self.send(&Message::HostListUpdate { list }, None);
                }
                _ = status_ticks.tick(), if has_peers => {
                    if self.control.lifecycle().is_ending() {
                        self.shares.set_ending();
                    }
                    self.apply_shares();
                    self.send_status();
                }
            }
        }
    }

    /// Writes the last messages about request ids to the peers.
    async fn finish(mut self) {
        self.send_id_messages();
        for peer in [self.predecessor.take(), self.successor.take()].into_iter().flatten() {
            peer.finish().await;
        }
    }

    fn listen(&self) -> Option<UnixListener> {
        match self.directory.listen() {
            Ok(listener) => Some(listener),
            Err(error) => {
                self.log.line(format!("handover: cannot listen for successors: {error}"));
                None
            }
        }
    }

    /// Sends the handover state to a successor that has connected.
    async fn accept_successor(&mut self, stream: UnixStream, incoming: &mpsc::Sender<PeerMessage>) {
        if self.successor.is_some() {
            // There is one successor at a time. This one starts without the handover state.
            return;
        }
        // From before the handover state on, so that no id is missed.
        self.request_ids.connect_successor();
        self.successor_shares_ids = false;
        let result = timeout(HANDSHAKE_TIMEOUT, self.hand_over(stream)).await;
        if !matches!(result, Ok(Ok(_))) {
            self.request_ids.disconnect_successor();
        }
        match result {
            Ok(Ok((stream, lines))) => {
                self.last_peer_number += 1;
                self.successor = Some(Peer::new(
                    stream,
                    lines,
                    PeerSide::Successor,
                    self.last_peer_number,
                    incoming.clone(),
                ));
                // Assumed until the successor sends its own status.
                self.shares.set_successor(Some(ProcessStatus {
                    in_use: ResourceCounts::default(),
                    limits: self.configured_limits,
                    ending: false,
                    serving: false,
                    process_count: 1,
                    shares_request_ids: false,
                }));
                self.apply_shares();
                self.log.line("handover: a successor has begun");
            }
            Ok(Err(error)) => self.log.line(format!("handover: the handover to a successor failed: {error}")),
            Err(_) => self.log.line("handover: the handover to a successor timed out"),
        }
    }

    async fn hand_over(&self, mut stream: UnixStream) -> io::Result<(UnixStream, LineBuffer)> {
        check_peer_user(&stream)?;
        let mut lines = LineBuffer::new(MAX_LINE_BYTES);
        match read_message(&mut stream, &mut lines).await? {
            Some(Message::Hello { v: VERSION }) => {}
            Some(Message::Hello { v }) => {
                return Err(io::Error::other(format!(
                    "the successor uses protocol version {v}, this process version {VERSION}"
                )));
            }
            _ => return Err(io::Error::other("the successor sent no hello")),
        }
        let state = self.control.handover_state().await.map_err(io::Error::other)?;
        stream.write_all(&Message::HandoverState(Box::new(state)).to_line()).await?;
        let status = self.shares.status_for_successor(self.budgets.in_use());
        stream.write_all(&Message::Status(self.with_serving(status)).to_line()).await?;
        Ok((stream, lines))
    }

    /// The status with `serving` taken from the lifecycle, which the shares do not know.
    fn with_serving(&self, status: ProcessStatus) -> ProcessStatus {
        let lifecycle = self.control.lifecycle();
        ProcessStatus { serving: matches!(lifecycle.stage(), Stage::Serving | Stage::Evacuating), ..status }
    }

    fn handle(&mut self, (side, number, message): PeerMessage) {
        let peer = match side {
            PeerSide::Predecessor => &mut self.predecessor,
            PeerSide::Successor => &mut self.successor,
        };
        if peer.as_ref().is_none_or(|peer| peer.number != number) {
            return;
        }
        match message {
            Some(Message::Status(status)) => match side {
                PeerSide::Predecessor => self.shares.set_predecessor(Some(status)),
                PeerSide::Successor => {
                    self.shares.set_successor(Some(status));
                    self.successor_shares_ids = status.shares_request_ids;
                    self.successor_serving.store(status.serving, Ordering::Release);
                }
            },
            Some(Message::HostListUpdate { list }) => self.control.apply_peer_list(list),
            Some(Message::IdRequests { requests }) if side == PeerSide::Successor => {
                self.request_ids.handle_requests(requests)
            }
            Some(Message::IdNotices { notices }) if side == PeerSide::Predecessor => {
                self.request_ids.handle_notices(notices)
            }
            // From the wrong side.
            Some(Message::IdRequests { .. } | Message::IdNotices { .. }) => {}
            // Only valid during the handshake; ignored afterwards.
            Some(Message::Hello { .. } | Message::HandoverState(_)) => {}
            None => {
                *peer = None;
                match side {
                    PeerSide::Predecessor => {
                        self.shares.set_predecessor(None);
                        self.request_ids.disconnect_predecessor();
                        self.log.line("handover: the predecessor has ended");
                    }
                    PeerSide::Successor => {
                        self.shares.set_successor(None);
                        self.request_ids.disconnect_successor();
                        self.successor_serving.store(false, Ordering::Release);
                        self.log.line("handover: the successor has ended");
                    }
                }
            }
        }
        self.apply_shares();
    }

    /// Sets the limits of this process, and the decision module's number of sidecars, by the status of the
    /// peers.
    fn apply_shares(&mut self) {
        self.budgets.set_limits(self.shares.own_limits(self.budgets.in_use()));
        let process_count = self.shares.process_count();
        if std::mem::replace(&mut self.applied_process_count, process_count) != process_count {
            self.control.set_sidecar_count(self.configured_sidecars.saturating_mul(process_count));
        }
    }

    /// Sends the status of this process to both peers.
    fn send_status(&self) {
        let in_use = self.budgets.in_use();
        let for_predecessor = Message::Status(self.with_serving(self.shares.status_for_predecessor(in_use)));
        let for_successor = Message::Status(self.with_serving(self.shares.status_for_successor(in_use)));
        self.send(&for_predecessor, Some(PeerSide::Predecessor));
        self.send(&for_successor, Some(PeerSide::Successor));
    }

    /// Sends what is to be told about request ids, as far as the queues have room.
    fn send_id_messages(&self) {
        if let Some(peer) = &self.predecessor {
            self.request_ids.send_requests(|requests| {
                let message = Message::IdRequests { requests: requests.to_vec() };
                peer.send(&Arc::new(message.to_line()))
            });
        }
        if let Some(peer) = self.successor.as_ref().filter(|_| self.successor_shares_ids) {
            self.request_ids.send_notices(|notices| {
                let message = Message::IdNotices { notices: notices.to_vec() };
                peer.send(&Arc::new(message.to_line()))
            });
        }
    }

    /// Sends a message to the peer on one side, or to both.
    fn send(&self, message: &Message, only: Option<PeerSide>) {
        let line = Arc::new(message.to_line());
        let peers = [(PeerSide::Predecessor, &self.predecessor), (PeerSide::Successor, &self.successor)];
        for (side, peer) in peers {
            if let Some(peer) = peer.as_ref().filter(|_| only.is_none_or(|only| only == side)) {
                peer.send(&line);
            }
        }
    }
}

/// Accepts a successor; never ready without a listener.
async fn accept(listener: Option<&UnixListener>) -> io::Result<(UnixStream, tokio::net::unix::SocketAddr)> {
    match listener {
        Some(listener) => listener.accept().await,
        None => std::future::pending().await,
    }
}
