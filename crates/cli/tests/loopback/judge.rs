//! Records every request of a test process and checks two properties: nothing that may run only once was sent again, and
//! each accepted request got exactly one complete final answer in time. Every stand-in upstream reports each request whose
//! last byte it received, each client reports its requests and answers, and each test that runs the program ends with both
//! checks. The judge shares no code with the program.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{LazyLock, Mutex, PoisonError};
use std::time::{Duration, Instant};

use super::final_answers::{ClientWait, RequestCounts, UpstreamAttempts, Violation, WaitEnd};
use super::{Message, ScriptedResponse};

/// The longest window of an idempotency key in the settings of these tests.
const MAX_KEY_WINDOW: Duration = Duration::from_millis(5_050);

/// The record of one request, over all upstreams and clients of a test process.
#[derive(Debug, Default)]
struct RequestRecord {
    class: String,
    /// The completely received attempts in their order: the time, and whether the attempt may have run. Attempts with a
    /// custom response are left out, since only their test knows whether they ran.
    received: Vec<(Instant, bool)>,
    /// The status of the final answer.
    answered: Option<u16>,
    /// The number of times that the client sent the request again by its own decision.
    client_retries: usize,
    /// The client's wait, once the request was sent completely.
    wait: Option<ClientWait>,
    /// The completely received attempts, including those with a custom response.
    attempts: UpstreamAttempts,
}

static RECORDS: LazyLock<Mutex<HashMap<String, RequestRecord>>> = LazyLock::new(Mutex::default);

fn with_record<T>(id: &str, access: impl FnOnce(&mut RequestRecord) -> T) -> T {
    let mut records = RECORDS.lock().unwrap_or_else(PoisonError::into_inner);
    access(records.entry(id.to_owned()).or_default())
}

/// Whether these bytes are a complete answer which proves that the request was not executed.
fn proves_not_processed(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes);
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let lines: Vec<&str> = head.split("\r\n").collect();
    let marks: Vec<&&str> =
        lines.iter().filter(|line| line.to_ascii_lowercase().starts_with("x-not-processed")).collect();
    let has_refusal_status =
        lines[0].split(' ').nth(1).is_some_and(|status| status == "503" || status == "504");
    let length = lines
        .iter()
        .find_map(|line| line.to_ascii_lowercase().strip_prefix("content-length: ")?.parse().ok());
    let is_complete = text.contains("\r\n\r\n") && length.is_some_and(|length: usize| body.len() >= length);
    has_refusal_status && is_complete && matches!(marks[..], [mark] if *mark == "X-Not-Processed: 1")
}

/// Whether an upstream with this response may truncate its answer.
fn may_truncate(response: &ScriptedResponse) -> bool {
    !matches!(
        response,
        ScriptedResponse::Answer(..)
            | ScriptedResponse::AnswerAndClose
            | ScriptedResponse::AnswerWhenReleased(_)
    )
}

/// Records an attempt that an upstream received completely, and the upstream's response.
pub fn record_received(message: &Message, response: &ScriptedResponse) {
    let Some(id) = message.header("x-request-id") else { return };
    let class = message.start_line.split(['/', '?']).nth(1).unwrap_or_default().to_owned();
    with_record(id, |record| {
        record.attempts.received += 1;
        record.attempts.may_truncate |= may_truncate(response);
    });
    let may_have_run = match response {
        ScriptedResponse::Answer(status, headers, body) => {
            let head = format!("HTTP/1.1 {status} x\r\nContent-Length: {}\r\n{headers}\r\n", body.len());
            !proves_not_processed(&[head.as_bytes(), body].concat())
        }
        ScriptedResponse::Raw(bytes)
        | ScriptedResponse::RawAndClose(bytes)
        | ScriptedResponse::RawAndReset(bytes) => !proves_not_processed(bytes),
        // Only the test knows whether the attempt ran.
        ScriptedResponse::Custom(_) | ScriptedResponse::CustomAndReset(_) => return,
        _ => true,
    };
    with_record(id, |record| {
        record.class = class;
        record.received.push((Instant::now(), may_have_run));
    });
}

/// Records the status of the final answer that a client received.
pub fn record_answer(id: &str, status: u16) {
    with_record(id, |record| record.answered = Some(status));
}

/// Records a request that a client sent completely to the sidecar at `accepted_by`, with the client's timeout.
pub fn record_accepted(
    id: &str,
    accepted_by: Option<SocketAddr>,
    timeout: Duration,
    on_new_connection: bool,
) {
    let accepted_at = Instant::now();
    let wait =
        ClientWait { accepted_at, accepted_by, timeout, on_new_connection, end: None, has_surplus: false };
    with_record(id, |record| record.wait = Some(wait));
}

/// Records the end of the wait for an answer; only the first end counts.
pub fn record_end(id: &str, end: WaitEnd) {
    with_record(id, |record| {
        if let Some(wait) = &mut record.wait {
            wait.end.get_or_insert(end);
        }
    });
}

/// Records that further bytes followed the answer on its connection.
pub fn record_surplus(id: &str) {
    with_record(id, |record| {
        if let Some(wait) = &mut record.wait {
            wait.has_surplus = true;
        }
    });
}

/// How a request was lost, or `None` if it was not lost.
pub fn violation(id: &str) -> Option<Violation> {
    with_record(id, |record| record.violation())
}

/// Records that a client sends a request again under the same id, as a new request.
pub fn record_client_retry(id: &str) {
    with_record(id, |record| record.client_retries += 1);
}

/// The number of completely received attempts of a request, without those that got a custom response.
pub fn received_count(id: &str) -> usize {
    with_record(id, |record| record.received.len())
}

impl RequestRecord {
    fn violation(&self) -> Option<Violation> {
        self.wait.and_then(|wait| wait.violation(self.attempts))
    }
}

/// Checks that no request accepted at this address was lost. The check is per sidecar, so that a loss fails the test that
/// caused it.
pub fn assert_no_request_lost(address: SocketAddr) {
    let records = RECORDS.lock().unwrap_or_else(PoisonError::into_inner);
    let mut counts = RequestCounts::default();
    for (id, record) in &*records {
        let Some(wait) = record.wait.filter(|wait| wait.accepted_by == Some(address)) else { continue };
        counts.add(&wait, record.attempts);
        assert_eq!(record.violation(), None, "{id} did not get one complete answer in time: {record:?}");
    }
    println!("final answers at {address}: {counts:?}");
}

/// Checks all requests: a request that may run only once was neither sent again nor refused after it may have run, and a
/// request with an idempotency key was not sent again after its window.
pub fn assert_no_unsafe_retries() {
    let records = RECORDS.lock().unwrap_or_else(PoisonError::into_inner);
    for (id, record) in &*records {
        let Some(first_run) = record.received.iter().position(|(_, may_have_run)| *may_have_run) else {
            continue;
        };
        match record.class.as_str() {
            "bill" => {
                let max_received = first_run + 1 + record.client_retries;
                assert!(
                    record.received.len() <= max_received,
                    "{id} was sent again after it may have run: {record:?}"
                );
                assert!(
                    !matches!(record.answered, Some(429 | 503)),
                    "{id} was refused after it may have run: {record:?}"
                );
            }
            "log" => {
                let first_run_at = record.received[first_run].0;
                let last_received_at = record.received[record.received.len() - 1].0;
                assert!(
                    last_received_at - first_run_at < MAX_KEY_WINDOW,
                    "{id} was sent again after its window: {record:?}"
                );
            }
            _ => {}
        }
    }
}
