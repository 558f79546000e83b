//! The socket between processes of one sidecar, and what each does on hearing of the other.

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

use super::message::{HandoverState, LINE_BYTES, Message, VERSION};
use super::shares::{ProcessStatus, Shares};
use crate::budget::{Budgets, ResourceCounts};
use crate::instance::Control;
use crate::lifecycle::Stage;
use crate::line_buffer::LineBuffer;
use crate::log::Log;

const NAME: &str = "sagemast.sock";
/// The kernel takes addresses of 107 bytes (`unix(7)`); a longer directory is reached by its descriptor.
const SHORT: usize = 90;
/// A predecessor hands over within this, or the start goes on without it.
const HAND_OVER: Duration = Duration::from_millis(1_500);
/// A socket that refuses is that of a process that has ended, or of one whose place another is about to take: it is tried
/// again for this long.
const REFUSED: [Duration; 2] = [Duration::from_millis(30), Duration::from_millis(300)];
/// How often each tells how it stands.
const TELL: Duration = Duration::from_millis(100);
/// What waits to be told to one peer. More is dropped: how one stands is told again, and each has a watch of its own.
const WAITING: usize = 64;
/// A peer that does not take what it is told for this long is given up.
const TAKE: Duration = Duration::from_secs(2);
/// Pieces that are read at once.
const READ_BYTES: usize = 16 << 10;

/// The directory that all processes of a sidecar see.
#[derive(Debug, Clone)]
pub struct HandoverDirectory(PathBuf);

impl HandoverDirectory {
    /// `$TMPDIR`, if there is one.
    pub fn from_env() -> Option<HandoverDirectory> {
        let dir = PathBuf::from(std::env::var_os("TMPDIR")?);
        dir.is_dir().then_some(HandoverDirectory(dir))
    }

    /// A path in it that the kernel takes for an address, and what has to be kept open for that.
    fn path(&self, name: &str) -> io::Result<(PathBuf, Option<OwnedFd>)> {
        if self.0.as_os_str().len() <= SHORT {
            return Ok((self.0.join(name), None));
        }
        let flags = OFlags::PATH | OFlags::DIRECTORY | OFlags::CLOEXEC;
        let dir = rustix::fs::open(&self.0, flags, Mode::empty())?;
        let path = format!("/proc/self/fd/{}/{name}", dir.as_raw_fd());
        Ok((PathBuf::from(path), Some(dir)))
    }

    /// Listens there, in the place of whoever did so before.
    fn listen(&self) -> io::Result<UnixListener> {
        let own = format!("{NAME}.{}", std::process::id());
        let (path, _dir) = self.path(&own)?;
        let _ = std::fs::remove_file(&path);
        let listener = UnixListener::bind(&path)?;
        std::fs::rename(&path, self.0.join(NAME))?;
        Ok(listener)
    }

    async fn connect(&self) -> io::Result<UnixStream> {
        let (path, _dir) = self.path(NAME)?;
        UnixStream::connect(path).await
    }

    /// The path of the socket, as far as it has one.
    pub fn socket(&self) -> PathBuf {
        Path::new(&self.0).join(NAME)
    }
}

/// The predecessor, once it has handed over.
pub struct Predecessor {
    stream: UnixStream,
    lines: LineBuffer,
    standing: ProcessStatus,
    /// What it leaves.
    pub estate: Option<Box<HandoverState>>,
}

impl Predecessor {
    /// Meets the predecessor, if there is one that lives. What is wrong with it is told in one line.
    pub async fn meet(place: &HandoverDirectory, log: &Log) -> Option<Predecessor> {
        let met = timeout(HAND_OVER, Predecessor::try_meet(place)).await;
        match met.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())) {
            Ok(elder) => elder,
            Err(error) => {
                log.line(format!("handover: starting without a predecessor: {error}"));
                None
            }
        }
    }

    async fn try_meet(place: &HandoverDirectory) -> io::Result<Option<Predecessor>> {
        let mut waited = Duration::ZERO;
        let mut stream = loop {
            match place.connect().await {
                Ok(stream) => break stream,
                Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused && waited < REFUSED[1] => {
                    sleep(REFUSED[0]).await;
                    waited += REFUSED[0];
                }
                Err(error) => return Err(error),
            }
        };
        is_ours(&stream)?;
        stream.write_all(&Message::Hello { v: VERSION }.line()).await?;
        let mut lines = LineBuffer::new(LINE_BYTES);
        let Some(Message::Estate(estate)) = hear(&mut stream, &mut lines).await? else {
            return Err(io::Error::other("it leaves nothing"));
        };
        let Some(Message::Stands(standing)) = hear(&mut stream, &mut lines).await? else {
            return Err(io::Error::other("it does not say how it stands"));
        };
        Ok(Some(Predecessor { stream, lines, standing, estate: Some(estate) }))
    }
}

/// Only processes of the same user are believed.
fn is_ours(stream: &UnixStream) -> io::Result<()> {
    match sockopt::socket_peercred(stream)?.uid == geteuid() {
        true => Ok(()),
        false => Err(io::Error::other("it is another user's")),
    }
}

/// The next message; `None` at the end.
async fn hear<R: AsyncReadExt + Unpin>(
    stream: &mut R,
    lines: &mut LineBuffer,
) -> io::Result<Option<Message>> {
    loop {
        if let Some(line) = lines.next_line() {
            return Message::read(&line).map(Some).map_err(io::Error::other);
        }
        let mut chunk = [0; READ_BYTES];
        let got = stream.read(&mut chunk).await?;
        if got == 0 {
            return Ok(None);
        }
        lines.push(&chunk[..got]).map_err(io::Error::other)?;
    }
}

/// Which of the two a peer is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Side {
    Elder,
    Younger,
}

/// What one of the peers says; nothing when it has ended.
type Heard = (Side, u64, Option<Message>);

/// A peer that lives. Its tasks end with it.
struct Peer {
    number: u64,
    told: mpsc::Sender<Arc<Vec<u8>>>,
    tasks: [JoinHandle<()>; 2],
}

impl Peer {
    fn new(
        stream: UnixStream,
        lines: LineBuffer,
        side: Side,
        number: u64,
        heard: mpsc::Sender<Heard>,
    ) -> Peer {
        let (reads, writes) = stream.into_split();
        let (told, telling) = mpsc::channel(WAITING);
        let gone = heard.clone();
        let reader = tokio::spawn(read(reads, lines, side, number, heard));
        let writer = tokio::spawn(async move {
            write(writes, telling).await;
            let _ = gone.send((side, number, None)).await;
        });
        Peer { number, told, tasks: [reader, writer] }
    }

    fn tell(&self, message: &Arc<Vec<u8>>) {
        // Full: see WAITING.
        let _ = self.told.try_send(message.clone());
    }
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

async fn read(
    mut stream: OwnedReadHalf,
    mut lines: LineBuffer,
    side: Side,
    number: u64,
    heard: mpsc::Sender<Heard>,
) {
    // What cannot be read is taken for its end.
    while let Ok(Some(message)) = hear(&mut stream, &mut lines).await {
        if heard.send((side, number, Some(message))).await.is_err() {
            return;
        }
    }
    let _ = heard.send((side, number, None)).await;
}

async fn write(mut stream: OwnedWriteHalf, mut telling: mpsc::Receiver<Arc<Vec<u8>>>) {
    while let Some(line) = telling.recv().await {
        if !matches!(timeout(TAKE, stream.write_all(&line)).await, Ok(Ok(()))) {
            return;
        }
    }
}

/// What the processes of a sidecar share, as one of them sees it.
pub struct Succession {
    place: HandoverDirectory,
    control: Control,
    budgets: Budgets,
    whole: ResourceCounts,
    sidecars: u32,
    log: Log,
    shares: Shares,
    elder: Option<Peer>,
    younger: Option<Peer>,
    /// How many processes the module was told of.
    processes: u32,
    peers: u64,
    succeeded: Arc<AtomicBool>,
}

/// The hold on it. It ends when this is dropped.
pub struct SuccessionHandle {
    task: JoinHandle<()>,
    serves: Arc<Notify>,
    succeeded: Arc<AtomicBool>,
}

impl SuccessionHandle {
    /// This process serves now: who comes next is to ask it.
    pub fn serves(&self) {
        self.serves.notify_one();
    }

    /// Whether a successor serves.
    pub fn is_succeeded(&self) -> bool {
        self.succeeded.load(Ordering::Acquire)
    }
}

impl Drop for SuccessionHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Shares with the predecessor, if there is one, and with successors, from now on.
pub fn run(
    place: HandoverDirectory,
    elder: Option<Predecessor>,
    control: Control,
    budgets: Budgets,
    sidecars: u32,
    log: Log,
) -> SuccessionHandle {
    let whole = budgets.limits();
    let (heard, hears) = mpsc::channel(WAITING);
    let mut shares = Shares::new(whole);
    shares.elder(elder.as_ref().map(|elder| elder.standing));
    let elder = elder.map(|elder| Peer::new(elder.stream, elder.lines, Side::Elder, 0, heard.clone()));
    let succeeded = Arc::new(AtomicBool::new(false));
    let mut succession = Succession {
        place,
        control,
        budgets,
        whole,
        sidecars,
        log,
        shares,
        elder,
        younger: None,
        processes: 1,
        peers: 1,
        succeeded: succeeded.clone(),
    };
    // Before the first client comes.
    succession.apply();
    let serves = Arc::new(Notify::new());
    let task = tokio::spawn(succession.run(serves.clone(), heard, hears));
    SuccessionHandle { task, serves, succeeded }
}

impl Succession {
    async fn run(
        mut self,
        serves: Arc<Notify>,
        heard: mpsc::Sender<Heard>,
        mut hears: mpsc::Receiver<Heard>,
    ) {
        let (news, mut told) = mpsc::channel(WAITING);
        self.control.follow(news);
        let mut listener: Option<UnixListener> = None;
        let mut serving = false;
        let mut ticks = interval(TELL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let shared = self.elder.is_some() || self.younger.is_some();
            tokio::select! {
                () = serves.notified() => {
                    serving = true;
                    listener = self.listen();
                    // The end of the other may begin at once.
                    self.stand();
                }
                accepted = accept(listener.as_ref()) => if let Ok((stream, _)) = accepted {
                    self.accepted(stream, &heard).await;
                },
                Some(message) = hears.recv() => {
                    let younger = self.younger.is_some();
                    self.heard(message);
                    // Its successor has taken its place, and has ended.
                    if younger && self.younger.is_none() && serving {
                        listener = self.listen();
                    }
                }
                Some(list) = told.recv(), if shared => self.tell(&Message::News { list }, None),
                _ = ticks.tick(), if shared => {
                    if self.control.life().is_ending() {
                        self.shares.leave();
                    }
                    self.apply();
                    self.stand();
                }
            }
        }
    }

    fn listen(&self) -> Option<UnixListener> {
        match self.place.listen() {
            Ok(listener) => Some(listener),
            Err(error) => {
                self.log.line(format!("handover: successors cannot ask this process: {error}"));
                None
            }
        }
    }

    /// Hands over to a successor.
    async fn accepted(&mut self, stream: UnixStream, heard: &mpsc::Sender<Heard>) {
        if self.younger.is_some() {
            // One at a time; it starts without what this one knows.
            return;
        }
        match timeout(HAND_OVER, self.hand_over(stream)).await {
            Ok(Ok((stream, lines))) => {
                self.peers += 1;
                self.younger = Some(Peer::new(stream, lines, Side::Younger, self.peers, heard.clone()));
                let nothing = ResourceCounts::default();
                // Until it says how it stands.
                self.shares.younger(Some(ProcessStatus {
                    held: nothing,
                    whole: self.whole,
                    leaving: false,
                    serving: false,
                    side: 1,
                }));
                self.apply();
                self.log.line("handover: a successor has begun");
            }
            Ok(Err(error)) => self.log.line(format!("handover: a successor is not served: {error}")),
            Err(_) => self.log.line("handover: a successor does not listen"),
        }
    }

    async fn hand_over(&self, mut stream: UnixStream) -> io::Result<(UnixStream, LineBuffer)> {
        is_ours(&stream)?;
        let mut lines = LineBuffer::new(LINE_BYTES);
        match hear(&mut stream, &mut lines).await? {
            Some(Message::Hello { v: VERSION }) => {}
            Some(Message::Hello { v }) => {
                return Err(io::Error::other(format!("it speaks version {v}, this program {VERSION}")));
            }
            _ => return Err(io::Error::other("it does not say hello")),
        }
        let estate = self.control.estate().await.map_err(io::Error::other)?;
        stream.write_all(&Message::Estate(Box::new(estate)).line()).await?;
        let standing = self.shares.to_younger(self.budgets.in_use());
        stream.write_all(&Message::Stands(self.complete(standing)).line()).await?;
        Ok((stream, lines))
    }

    /// A standing with what the shares do not know.
    fn complete(&self, standing: ProcessStatus) -> ProcessStatus {
        let life = self.control.life();
        ProcessStatus { serving: matches!(life.stage(), Stage::Serving | Stage::Evacuating), ..standing }
    }

    fn heard(&mut self, (side, number, message): Heard) {
        let peer = match side {
            Side::Elder => &mut self.elder,
            Side::Younger => &mut self.younger,
        };
        if peer.as_ref().is_none_or(|peer| peer.number != number) {
            return;
        }
        match message {
            Some(Message::Stands(standing)) => match side {
                Side::Elder => self.shares.elder(Some(standing)),
                Side::Younger => {
                    self.shares.younger(Some(standing));
                    self.succeeded.store(standing.serving, Ordering::Release);
                }
            },
            Some(Message::News { list }) => self.control.news(list),
            // Out of turn it means nothing.
            Some(Message::Hello { .. } | Message::Estate(_)) => {}
            None => {
                *peer = None;
                match side {
                    Side::Elder => {
                        self.shares.elder(None);
                        self.log.line("handover: the predecessor has ended");
                    }
                    Side::Younger => {
                        self.shares.younger(None);
                        self.succeeded.store(false, Ordering::Release);
                        self.log.line("handover: the successor has ended");
                    }
                }
            }
        }
        self.apply();
    }

    /// Brings limits and the module into line with what the peers have said.
    fn apply(&mut self) {
        self.budgets.set_limits(self.shares.allowed(self.budgets.in_use()));
        let processes = self.shares.processes();
        if std::mem::replace(&mut self.processes, processes) != processes {
            self.control.set_sidecars(self.sidecars.saturating_mul(processes));
        }
    }

    /// Tells both how this one stands.
    fn stand(&self) {
        let held = self.budgets.in_use();
        let to_elder = Message::Stands(self.complete(self.shares.to_elder(held)));
        let to_younger = Message::Stands(self.complete(self.shares.to_younger(held)));
        self.tell(&to_elder, Some(Side::Elder));
        self.tell(&to_younger, Some(Side::Younger));
    }

    fn tell(&self, message: &Message, side: Option<Side>) {
        let line = Arc::new(message.line());
        for (which, peer) in [(Side::Elder, &self.elder), (Side::Younger, &self.younger)] {
            if let Some(peer) = peer.as_ref().filter(|_| side.is_none_or(|side| side == which)) {
                peer.tell(&line);
            }
        }
    }
}

async fn accept(listener: Option<&UnixListener>) -> io::Result<(UnixStream, tokio::net::unix::SocketAddr)> {
    match listener {
        Some(listener) => listener.accept().await,
        None => std::future::pending().await,
    }
}
