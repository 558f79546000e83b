//! The discovery watch: reads the list of upstreams and its changes, and tells the driver.

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
use crate::json_stream::{JsonStream, Next};
use crate::log::Log;
use crate::messages::EventSink;
use crate::watch_liveness::{self, WatchTimeouts};

/// The longest list: thousands of hosts, indented. A stream without an end must not fill the memory.
const MAX_LIST_BYTES: usize = 2 << 20;

/// What a watch has to tell.
pub enum DiscoveryEvent {
    /// A list or changes.
    ListReceived {
        /// To which watch.
        watch: u64,
        /// What.
        list: HostList,
    },
    /// A call failed or the watch ended.
    Failed {
        /// Which.
        watch: u64,
        /// The version to go on from: 0 if something was missed.
        seq: u64,
    },
}

/// Where watches start from and what they tell.
pub struct Watch {
    /// Discovery's address.
    pub address: SocketAddr,
    /// Its number: what an earlier one left on its way to the driver is not to be believed any more.
    pub id: u64,
    /// The version that the sidecar has.
    pub seq: u64,
    /// Where it tells them.
    pub events: EventSink<DiscoveryEvent>,
    /// Where it says what went wrong.
    pub log: Log,
    /// How long it waits.
    pub timeouts: WatchTimeouts,
    /// This sidecar's place, from 0 to 1, among those that open a silent watch anew.
    pub spread_position: f64,
    /// The last sign of life of a watch that has fallen silent, until another gives one.
    pub silent_since: Option<Instant>,
}

impl Watch {
    /// Watches for good, for settings under which news come by themselves.
    pub async fn run(mut self) {
        let [first, last] = self.timeouts.back_off;
        let (mut wait, mut said) = (first, String::new());
        loop {
            let before = self.seq;
            let Err(end) = self.once().await;
            let went_on = self.seq != before && self.seq != 0;
            let why = format!("{end:#}");
            // An outage is one line, however often it is asked.
            if went_on || why != said {
                self.log.line(format!("discovery: {why}; watching again"));
                said = why;
            }
            // A watch that told something was in order; others back off, so as not to storm a discovery in need.
            wait = if went_on { first } else { (wait * 2).min(last) };
            sleep(wait).await;
        }
    }

    /// Watches once, for settings under which the module asks; it hears of the end and asks again when it sees fit. A watch
    /// that has fallen silent is another matter: what it misses counts as told soon, so it is opened anew at once.
    pub async fn run_until_failure(mut self) {
        let (mut tries, mut counted_since) = (0, None);
        loop {
            let Err(end) = self.once().await;
            self.log.line(format!("discovery: {end:#}"));
            // Without a silence there is no hurry; with one, the calls after it are counted until one is answered.
            let Some(since) = self.silent_since else { break };
            if counted_since.replace(since) != Some(since) {
                tries = 0;
            }
            let Some(wait) = watch_liveness::again(since.elapsed(), tries, self.spread_position) else {
                break;
            };
            tries += 1;
            sleep(wait).await;
        }
        self.events.send(DiscoveryEvent::Failed { watch: self.id, seq: self.seq });
    }

    async fn once(&mut self) -> Result<Infallible> {
        // Connecting and the head of the answer share one time: a budget is the sum of its parts.
        let answer_by = Instant::now() + self.timeouts.call;
        let stream = timeout_at(answer_by, TcpStream::connect(self.address))
            .await
            .map_err(|_| anyhow!("connecting took too long"))?
            .context("cannot connect")?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
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
        let mut values = JsonStream::new(MAX_LIST_BYTES);
        let end = self.listen(response.into_body(), &mut values).await;
        if values.is_within() {
            // What it would have said is missed: only the whole list can make up for it.
            self.seq = 0;
        }
        end
    }

    /// Listens to a watch until it ends. Only what is whole is a sign of life: bytes that end nothing may go on for good.
    async fn listen(&mut self, mut body: Incoming, values: &mut JsonStream) -> Result<Infallible> {
        let mut alive = Instant::now();
        loop {
            let Ok(frame) = timeout_at(alive + self.timeouts.silence, body.frame()).await else {
                // What this one misses counts as told so long after it fell silent, whatever fell silent before.
                self.silent_since = Some(alive);
                bail!("the watch fell silent");
            };
            let frame = frame.context("the watch ended")??;
            let Ok(chunk) = frame.into_data() else { continue };
            values.push(&chunk).map_err(anyhow::Error::msg)?;
            let mut broken = None;
            while let Some(next) = values.next_value() {
                match next {
                    Next::Blank => {}
                    Next::Object(text) => broken = self.tell(&text)?.or(broken),
                    Next::Broken(reason) => broken = Some(reason.to_owned()),
                }
                (alive, self.silent_since) = (Instant::now(), None);
            }
            if let Some(reason) = broken {
                // What else came with it counts, but only the whole list can make up for what was missed.
                self.seq = 0;
                bail!("a list cannot be read: {reason}");
            }
        }
    }

    /// Tells a list, or says why it cannot be read.
    fn tell(&mut self, text: &[u8]) -> Result<Option<String>> {
        match serde_json::from_slice::<HostList>(text) {
            // Changes build on what went before: those of an older version would undo newer ones. From 0 on all are new.
            Ok(list) if !list.whole && list.seq < self.seq => {
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

/// A task that ends with its owner.
pub struct AbortOnDrop(pub JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
