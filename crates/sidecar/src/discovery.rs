//! The discovery watch: reads the list of upstreams and its changes, and tells the driver.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::driver::Happening;
use crate::log;

/// An empty line comes every 2 s; after this long without a byte the watch is dead. What it would have told
/// counts as told 6 s after discovery knew it, so there is no time to wait for more.
const SILENCE: Duration = Duration::from_millis(3_000);
/// A call must be answered in this time.
const CALL: Duration = Duration::from_millis(2_500);
/// Waits between attempts to watch, doubling from the first to the last while they fail.
const BACK_OFF: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(800)];
/// The longest line: thousands of hosts. A stream without line ends must not fill the memory.
const LINE_BYTES: usize = 2 << 20;

/// A list, or what changed in it, in discovery's form.
#[derive(Deserialize)]
pub struct HostList {
    /// Its version.
    pub seq: u64,
    /// Whether it is complete.
    #[serde(default)]
    pub whole: bool,
    /// Its entries, each decoded by itself: one that is broken must not take the others with it.
    pub hosts: Vec<serde_json::Value>,
}

/// An upstream as discovery tells it.
#[derive(Deserialize, Clone)]
pub struct Host {
    /// Its name, the same at every sidecar.
    pub host: String,
    /// Where it listens.
    pub dial: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub site: String,
    /// Its kind of machine.
    #[serde(default)]
    pub class: String,
    /// Its cell.
    #[serde(default)]
    pub block: u64,
    /// Whether it takes new work.
    pub health: Health,
    /// Its size compared with others.
    #[serde(default = "one")]
    pub share: f64,
    /// When it last started, in Unix milliseconds; 0 for long ago.
    #[serde(default)]
    pub born_ms: f64,
}

fn one() -> f64 {
    1.0
}

/// Whether an upstream takes new work.
#[derive(Deserialize, Clone, Copy, PartialEq, Eq, Debug)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// It does.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It is no more.
    Gone,
}

impl HostList {
    /// The entries that can be read; the others are logged.
    pub fn entries(&self) -> Vec<Host> {
        let read = |entry: &serde_json::Value| match Host::deserialize(entry) {
            Ok(host) if host.share.is_finite() && host.born_ms.is_finite() => Some(host),
            Ok(host) => {
                log::line(format!("discovery: absurd figures for {}", host.host));
                None
            }
            Err(error) => {
                log::line(format!("discovery: an entry cannot be read: {error}"));
                None
            }
        };
        self.hosts.iter().filter_map(read).collect()
    }
}

impl HostList {
    /// The hosts whose entries cannot be read, as far as their names can.
    pub fn unread_names(&self) -> impl Iterator<Item = &str> {
        let unread = |entry: &&serde_json::Value| Host::deserialize(*entry).is_err();
        self.hosts.iter().filter(unread).filter_map(|entry| entry.get("host")?.as_str())
    }
}

/// Cuts a stream into lines, however it is chunked.
#[derive(Default)]
struct Lines {
    buffer: BytesMut,
    searched: usize,
}

impl Lines {
    fn push(&mut self, chunk: &[u8]) -> Result<()> {
        if self.buffer.len() + chunk.len() > LINE_BYTES {
            bail!("a line is longer than {LINE_BYTES} bytes");
        }
        self.buffer.extend_from_slice(chunk);
        Ok(())
    }

    fn next(&mut self) -> Option<BytesMut> {
        let Some(end) = self.buffer[self.searched..].iter().position(|byte| *byte == b'\n') else {
            self.searched = self.buffer.len();
            return None;
        };
        let mut line = self.buffer.split_to(self.searched + end + 1);
        self.searched = 0;
        line.truncate(line.len() - 1);
        Some(line)
    }
}

/// Where watches start from and what they tell.
pub struct Watch {
    /// Discovery's address.
    pub address: SocketAddr,
    /// Its number: what an earlier one left on its way to the driver is not to be believed any more.
    pub number: u64,
    /// The version that the sidecar has.
    pub seq: u64,
    /// To the driver.
    pub news: mpsc::UnboundedSender<Happening>,
    /// Whether a line could not be read.
    pub missed: bool,
}

impl Watch {
    /// Watches for good, for settings under which news come by themselves.
    pub async fn keep(mut self) {
        let mut wait = BACK_OFF[0];
        loop {
            let before = self.seq;
            let Err(end) = self.once().await;
            log::line(format!("discovery: {end:#}; watching again"));
            // A watch that told something was in order; others back off, so as not to storm a discovery in need.
            wait = if self.seq == before { (wait * 2).min(BACK_OFF[1]) } else { BACK_OFF[0] };
            sleep(wait).await;
        }
    }

    /// Watches once, for settings under which the module asks; it hears of the end and asks again.
    pub async fn ask(mut self) {
        let Err(end) = self.once().await;
        log::line(format!("discovery: {end:#}"));
        let _ = self.news.send(Happening::DiscoveryFailed { watch: self.number, seq: self.seq });
    }

    async fn once(&mut self) -> Result<std::convert::Infallible> {
        let stream = timeout(CALL, TcpStream::connect(self.address))
            .await
            .context("connecting took too long")?
            .context("cannot connect")?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let _connection = AbortOnDrop(tokio::spawn(async move {
            let _ = connection.await;
        }));
        let request = Request::get(format!("/discovery/hosts?watch=1&from={}", self.seq))
            .header(header::HOST, self.address.to_string())
            .body(Empty::<Bytes>::new())?;
        let response = timeout(CALL, sender.send_request(request)).await.context("no answer in time")??;
        if response.status() != StatusCode::OK {
            bail!("answered {}", response.status());
        }
        let mut body = response.into_body();
        let mut lines = Lines::default();
        loop {
            let frame = timeout(SILENCE, body.frame()).await.context("the watch fell silent")?;
            let frame = frame.context("the watch ended")??;
            let Ok(chunk) = frame.into_data() else { continue };
            lines.push(&chunk)?;
            while let Some(line) = lines.next() {
                self.tell(&line)?;
            }
            if std::mem::take(&mut self.missed) {
                self.seq = 0;
                bail!("something was missed");
            }
        }
    }

    fn tell(&mut self, line: &[u8]) -> Result<()> {
        if line.trim_ascii().is_empty() {
            return Ok(());
        }
        match serde_json::from_slice::<HostList>(line) {
            Ok(list) => {
                self.seq = list.seq;
                let news = Happening::Listed { watch: self.number, list };
                self.news.send(news).context("the driver has ended")?;
            }
            // What the line said is missed: only the whole list can make up for it.
            Err(error) => {
                log::line(format!("discovery: a line cannot be read: {error}"));
                self.seq = 0;
                self.missed = true;
            }
        }
        Ok(())
    }
}

/// A task that ends with its owner.
pub struct AbortOnDrop(pub JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_are_found_however_they_are_chunked() {
        let text = b"{\"a\":1}\n\n{\"b\":2}\n{\"c\"";
        for size in 1..text.len() {
            let mut lines = Lines::default();
            let mut found = Vec::new();
            for chunk in text.chunks(size) {
                lines.push(chunk).unwrap();
                while let Some(line) = lines.next() {
                    found.push(line.to_vec());
                }
            }
            assert_eq!(found, [&b"{\"a\":1}"[..], b"", b"{\"b\":2}"], "chunks of {size}");
        }
    }

    #[test]
    fn an_endless_line_ends_the_watch() {
        let mut lines = Lines::default();
        let chunk = vec![b'x'; LINE_BYTES / 2 + 1];
        lines.push(&chunk).unwrap();
        assert!(lines.next().is_none());
        assert!(lines.push(&chunk).is_err());
    }

    #[test]
    fn a_broken_entry_leaves_the_others() {
        let list: HostList = serde_json::from_str(
            r#"{"seq":4,"hosts":[{"host":"a","dial":"127.0.0.1:1","health":"ready"},
            {"host":"b","dial":"nowhere","health":"ready"},{"host":"c","dial":"127.0.0.1:1","health":"odd"}, 7]}"#,
        )
        .unwrap();
        let names: Vec<String> = list.entries().into_iter().map(|host| host.host).collect();
        assert_eq!(names, ["a"]);
    }
}
