//! The discovery watch: reads the list of upstreams and its changes, and passes them to the driver.

use std::convert::Infallible;
use std::net::SocketAddr;

use anyhow::{Context, Result, anyhow, bail};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout_at};

use crate::hosts::HostList;
use crate::json_stream::{JsonStream, StreamItem};
use crate::log::Log;
use crate::messages::EventSink;
use crate::watch_liveness::{self, WatchTimeouts};

/// Size limit of a list. It fits an indented list of thousands of hosts, and keeps an endless stream from
/// exhausting memory.
const MAX_LIST_BYTES: usize = 2 << 20;

/// An event of a watch.
pub enum DiscoveryEvent {
    /// The watch received a complete list or changes.
    ListReceived {
        /// Id of the watch.
        watch: u64,
        /// The list.
        list: HostList,
    },
    /// A call failed or the watch ended.
    Failed {
        /// Id of the watch.
        watch: u64,
        /// The version to continue from: 0 if changes were missed.
        seq: u64,
    },
}

/// A watch of discovery.
pub struct Watch {
    /// Address of discovery.
    pub address: SocketAddr,
    /// Id of the watch. With it the driver recognizes queued events of a watch that has been replaced.
    pub id: u64,
    /// Version of the list that the sidecar has; 0 if there is none or changes were missed.
    pub seq: u64,
    /// Receives the events.
    pub events: EventSink<DiscoveryEvent>,
    /// Log for failures.
    pub log: Log,
    /// Timeouts.
    pub timeouts: WatchTimeouts,
    /// This sidecar's position, from 0 to 1, among the sidecars that reopen an unresponsive watch.
    pub spread_position: f64,
    /// When an unresponsive watch received its last complete item; `None` once a reopened watch has received
    /// one.
    pub unresponsive_since: Option<Instant>,
}

impl Watch {
    /// Watches forever and reopens the watch whenever it ends. For settings under which lists are pushed.
    pub async fn run(mut self) {
        let [first_wait, longest_wait] = self.timeouts.back_off;
        let (mut wait, mut logged_reason) = (first_wait, String::new());
        loop {
            let seq_before = self.seq;
            let Err(error) = self.watch_once().await;
            let made_progress = self.seq != seq_before && self.seq != 0;
            let reason = format!("{error:#}");
            // An outage is logged once, however many calls fail with the same reason.
            if made_progress || reason != logged_reason {
                self.log.line(format!("discovery: {reason}; reopening the watch"));
                logged_reason = reason;
            }
            // A watch that received a list has worked. After any other the wait doubles, so that a discovery
            // service in trouble is not overloaded.
            wait = if made_progress { first_wait } else { (wait * 2).min(longest_wait) };
            sleep(wait).await;
        }
    }

    /// Watches until the watch fails. For settings under which the decision module requests watches: it is
    /// notified of the failure and decides when to watch again. A watch that has become unresponsive is
    /// reopened at once, since changes that it misses soon count as received.
    pub async fn run_until_failure(mut self) {
        let (mut retries, mut retries_count_from) = (0, None);
        loop {
            let Err(error) = self.watch_once().await;
            self.log.line(format!("discovery: {error:#}"));
            // Only an unresponsive watch is reopened at once. Its retries are counted from its last complete
            // item, so that the count starts anew once a reopened watch has received an item.
            let Some(unresponsive_since) = self.unresponsive_since else { break };
            if retries_count_from.replace(unresponsive_since) != Some(unresponsive_since) {
                retries = 0;
            }
            let wait =
                watch_liveness::reopen_wait(unresponsive_since.elapsed(), retries, self.spread_position);
            let Some(wait) = wait else { break };
            retries += 1;
            sleep(wait).await;
        }
        self.events.send(DiscoveryEvent::Failed { watch: self.id, seq: self.seq });
    }

    async fn watch_once(&mut self) -> Result<Infallible> {
        // One deadline covers both connecting and the head of the answer.
        let answer_by = Instant::now() + self.timeouts.call;
        let tcp_stream = timeout_at(answer_by, TcpStream::connect(self.address))
            .await
            .map_err(|_| anyhow!("connecting timed out"))?
            .context("cannot connect")?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(tcp_stream)).await?;
        let _connection = AbortOnDrop(tokio::spawn(async move {
            let _ = connection.await;
        }));
        let request = Request::get(format!("/discovery/hosts?watch=1&from={}", self.seq))
            .header(header::HOST, self.address.to_string())
            .body(Empty::<Bytes>::new())?;
        let response = timeout_at(answer_by, sender.send_request(request))
            .await
            .map_err(|_| anyhow!("no answer in time"))??;
        if response.status() != StatusCode::OK {
            bail!("answered {}", response.status());
        }
        let mut stream = JsonStream::new(MAX_LIST_BYTES);
        let end = self.read_stream(response.into_body(), &mut stream).await;
        if stream.is_inside_item() {
            // The truncated list is lost, and only a complete list can replace it.
            self.seq = 0;
        }
        end
    }

    /// Reads a watch until it ends. Only a complete item counts as a response, since a stream may bring
    /// partial items forever.
    async fn read_stream(&mut self, mut body: Incoming, stream: &mut JsonStream) -> Result<Infallible> {
        let mut last_item_at = Instant::now();
        loop {
            let Ok(frame) = timeout_at(last_item_at + self.timeouts.idle, body.frame()).await else {
                // The staleness bound counts from this watch's last complete item, even if another watch
                // became unresponsive before.
                self.unresponsive_since = Some(last_item_at);
                bail!("the watch is unresponsive");
            };
            let frame = frame.context("the watch ended")??;
            let Ok(chunk) = frame.into_data() else { continue };
            stream.push(&chunk).map_err(anyhow::Error::msg)?;
            let mut malformed = None;
            while let Some(item) = stream.next_item() {
                match item {
                    StreamItem::BlankLine => {}
                    StreamItem::Object(text) => malformed = self.report_list(&text)?.or(malformed),
                    StreamItem::Malformed(reason) => malformed = Some(reason.to_owned()),
                }
                (last_item_at, self.unresponsive_since) = (Instant::now(), None);
            }
            if let Some(reason) = malformed {
                // The valid lists in the chunk were reported, but only a complete list can replace the
                // malformed one.
                self.seq = 0;
                bail!("a list cannot be read: {reason}");
            }
        }
    }

    /// Reports a list to the driver. Returns the reason if the list is invalid.
    fn report_list(&mut self, text: &[u8]) -> Result<Option<String>> {
        match serde_json::from_slice::<HostList>(text) {
            // Changes build on earlier ones, so changes of an older version would undo newer ones. From
            // version 0 on any change is new.
            Ok(list) if !list.complete && list.seq < self.seq => {
                Ok(Some(format!("version {} comes after {}", list.seq, self.seq)))
            }
            Ok(list) => {
                self.seq = list.seq;
                if !self.events.send(DiscoveryEvent::ListReceived { watch: self.id, list }) {
                    bail!("the driver has ended");
                }
                Ok(None)
            }
            Err(error) => Ok(Some(error.to_string())),
        }
    }
}

/// A task that is aborted when its owner drops it.
pub struct AbortOnDrop(pub JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
