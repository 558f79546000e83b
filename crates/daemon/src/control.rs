//! The control socket: takes requests from the operator's clients, hands them to the supervisor one at a time, and
//! writes its answers back. A peer that is slow, silent or talks nonsense is cut; it reaches nobody else.

use std::ffi::OsString;
use std::fs;
use std::io;
use std::os::fd::OwnedFd;
use std::os::unix::fs::{DirBuilderExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use sagemast_sidecar::line_buffer::LineBuffer;
use sagemast_sidecar::log::Log;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{Semaphore, mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::frames::{self, Ask, Kind, REQUEST_BYTES, Reply};

/// So many clients at once; the next waits in the socket's queue.
const CLIENTS: usize = 32;
/// A client that has sent no whole request for this long is cut.
const SILENCE: Duration = Duration::from_secs(10);
/// One that does not take an answer in this time is cut.
const SLOW: Duration = Duration::from_secs(5);
/// After so many frames that are no requests a client is cut.
const NONSENSE: u32 = 16;
/// The wait after a failed accept.
const BACK_OFF: Duration = Duration::from_millis(50);
/// Requests that wait for the supervisor; a client beyond them waits before it is read on.
pub const WAITING: usize = 64;

/// A request and where its answer goes.
pub struct Asked {
    /// What.
    pub ask: Ask,
    /// The answer.
    pub reply: oneshot::Sender<Reply>,
}

/// Where the socket is unless somebody says otherwise: in the folder that a service manager made for the daemon, else
/// in the user's own for sockets (XDG Base Directory Specification), else where the unit file has that folder made.
/// The environment is passed in.
pub fn usual(environment: impl Fn(&str) -> Option<OsString>) -> PathBuf {
    // Several folders may be listed; the first is as good as any (systemd.exec(5)).
    let listed = environment("RUNTIME_DIRECTORY").map(|all| all.to_string_lossy().into_owned());
    let first = listed.as_deref().and_then(|all| all.split(':').next()).map(PathBuf::from);
    let own = || environment("XDG_RUNTIME_DIR").map(|folder| PathBuf::from(folder).join("sagemast"));
    // Both specifications speak of absolute paths; another would depend on where the program stands.
    let folder =
        first.filter(|folder| folder.is_absolute()).or_else(|| own().filter(|own| own.is_absolute()));
    folder.unwrap_or_else(|| PathBuf::from("/run/sagemast")).join("control.sock")
}

/// Binds the socket, open to its owner alone. One that nobody listens on is left from a daemon that was killed, and
/// is replaced.
pub fn bind(path: &Path) -> Result<std::os::unix::net::UnixListener, String> {
    let shown = path.display();
    let fault = |what: &str, error: io::Error| format!("daemon.control: {what} {shown}: {error}");
    if let Some(folder) = path.parent().filter(|folder| !folder.as_os_str().is_empty() && !folder.exists()) {
        let made = fs::DirBuilder::new().recursive(true).mode(0o700).create(folder);
        made.map_err(|error| fault("cannot make the folder of", error))?;
    }
    match std::os::unix::net::UnixStream::connect(path) {
        Ok(_) => return Err(format!("daemon.control: another daemon answers at {shown}; stop it first")),
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
            fs::remove_file(path).map_err(|error| fault("cannot replace", error))?;
        }
        // Nothing is there, or something that is no socket: binding tells.
        Err(_) => {}
    }
    let listener =
        std::os::unix::net::UnixListener::bind(path).map_err(|error| fault("cannot listen at", error))?;
    let private = fs::set_permissions(path, fs::Permissions::from_mode(0o600));
    private.map_err(|error| fault("cannot close to others", error))?;
    Ok(listener)
}

/// Serves clients until the sender of `over` is dropped. Then who has asked still gets the answer, and the others are
/// cut.
pub async fn serve(
    listener: Arc<UnixListener>,
    asked: mpsc::Sender<Asked>,
    mut over: watch::Receiver<()>,
    log: Log,
) {
    let places = Arc::new(Semaphore::new(CLIENTS));
    // Held back for the moment in which all descriptors are taken: an operator must get in then above all.
    let mut reserve = spare();
    // Ends its clients with it.
    let mut clients = tokio::task::JoinSet::new();
    loop {
        let accepted = async {
            let place = places.clone().acquire_owned().await;
            (listener.accept().await, place)
        };
        let (accepted, place) = tokio::select! {
            biased;
            // Who comes from now on is for the process that this one hands over to.
            _ = over.changed() => break,
            accepted = accepted => accepted,
        };
        while clients.try_join_next().is_some() {}
        match accepted {
            Ok((stream, _)) => {
                let (asked, over) = (asked.clone(), over.clone());
                clients.spawn(async move {
                    client(stream, asked, over).await;
                    drop(place);
                });
                reserve = reserve.or_else(spare);
            }
            Err(error) => {
                if reserve.take().is_none() {
                    log.line(format!("control: cannot accept: {error}"));
                    sleep(BACK_OFF).await;
                    reserve = spare();
                }
            }
        }
    }
    drop(listener);
    while clients.join_next().await.is_some() {}
}

fn spare() -> Option<OwnedFd> {
    fs::File::open("/dev/null").ok().map(OwnedFd::from)
}

async fn client(mut stream: UnixStream, asked: mpsc::Sender<Asked>, mut over: watch::Receiver<()>) {
    // The mode of the socket keeps others out; were its folder too open, this still does.
    let own = rustix::process::geteuid().as_raw();
    if stream.peer_cred().is_ok_and(|peer| peer.uid() != own && peer.uid() != 0) {
        return;
    }
    let mut lines = LineBuffer::new(REQUEST_BYTES);
    let mut nonsense = 0;
    loop {
        let silent_at = Instant::now() + SILENCE;
        let line = loop {
            if let Some(line) = lines.next_line() {
                break line;
            }
            let mut chunk = [0; 4096];
            let read = tokio::select! {
                read = timeout_at(silent_at, stream.read(&mut chunk)) => read,
                _ = over.changed() => return,
            };
            let read = match read {
                Ok(Ok(read)) if read > 0 => read,
                _ => return,
            };
            if let Err(long) = lines.push(&chunk[..read]) {
                let _ = answer(&mut stream, &Reply::error(Kind::Malformed, long)).await;
                return;
            }
        };
        let reply = match frames::request(&line) {
            Ok(ask) => {
                let (reply, answer) = oneshot::channel();
                if asked.send(Asked { ask, reply }).await.is_err() {
                    return;
                }
                // The supervisor has ended, and with it the daemon.
                let Ok(reply) = answer.await else { return };
                reply
            }
            Err(problem) => {
                nonsense += 1;
                Reply { v: frames::VERSION, outcome: frames::Outcome::Error(problem) }
            }
        };
        if answer(&mut stream, &reply).await.is_err() || nonsense >= NONSENSE {
            return;
        }
    }
}

async fn answer(stream: &mut UnixStream, reply: &Reply) -> io::Result<()> {
    let line = frames::line(reply);
    timeout(SLOW, stream.write_all(&line)).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

/// Asks a daemon. An error is one plain line.
pub fn ask(path: &Path, ask: Ask, at_most: Duration) -> Result<Reply, String> {
    use std::io::{BufRead, BufReader, Read, Write};

    let shown = path.display();
    let mut stream = std::os::unix::net::UnixStream::connect(path)
        .map_err(|error| format!("no daemon answers at {shown}: {error}"))?;
    let set = stream.set_read_timeout(Some(at_most)).and_then(|()| stream.set_write_timeout(Some(SLOW)));
    set.map_err(|error| format!("{shown}: {error}"))?;
    let request = frames::line(&frames::Request { v: frames::VERSION, ask });
    stream.write_all(&request).map_err(|error| format!("the daemon at {shown} does not listen: {error}"))?;
    let mut line = Vec::new();
    let mut reader = BufReader::new(stream).take(frames::REPLY_BYTES as u64);
    match reader.read_until(b'\n', &mut line) {
        Ok(_) if line.ends_with(b"\n") => {}
        Ok(_) => return Err(format!("the daemon at {shown} ended before it had answered")),
        Err(error) => return Err(format!("the daemon at {shown} did not answer: {error}")),
    }
    serde_json::from_slice(&line).map_err(|error| format!("the daemon at {shown} answered nonsense: {error}"))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_usual_socket_is_where_the_environment_has_sockets() {
        let usual = |set: &[(&str, &str)]| {
            let path = usual(|name| set.iter().find(|(key, _)| *key == name).map(|(_, value)| value.into()));
            path.display().to_string()
        };
        assert_eq!(usual(&[]), "/run/sagemast/control.sock");
        assert_eq!(usual(&[("XDG_RUNTIME_DIR", "/u/7")]), "/u/7/sagemast/control.sock");
        let both = [("XDG_RUNTIME_DIR", "/u/7"), ("RUNTIME_DIRECTORY", "/r/a:/r/b")];
        assert_eq!(usual(&both), "/r/a/control.sock");
        assert_eq!(
            usual(&[("XDG_RUNTIME_DIR", "u"), ("RUNTIME_DIRECTORY", "")]),
            "/run/sagemast/control.sock"
        );
    }
}
