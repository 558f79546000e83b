//! Who can tell whether anything was sent again that may run only once, and whether each accepted request got exactly one whole
//! final answer in time: every stand-in upstream tells of each request whose last byte has come, each client of what it sent and
//! of the answer it was given, and each test that runs the program ends by asking. Shares no code with the program.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{LazyLock, Mutex, PoisonError};
use std::time::{Duration, Instant};

use super::final_answers::{ClientWait, RequestCounts, UpstreamAttempts, Violation, WaitEnd};
use super::{Message, ScriptedResponse};

/// The longest window of a key in any settings of these tests.
const WINDOW: Duration = Duration::from_millis(5_050);

/// What is known of one request, over all upstreams and clients of a test process.
#[derive(Debug, Default)]
struct Case {
    class: String,
    /// The attempts that came whole, in their order: when, and whether they may have run.
    came: Vec<(Instant, bool)>,
    /// The final answer.
    answered: Option<u16>,
    /// How often its client has sent it once more of its own accord.
    again: usize,
    /// Its client's wait, once it was sent whole.
    wait: Option<ClientWait>,
    /// Attempts that came whole, with those of which only the test knows what became.
    attempts: UpstreamAttempts,
}

static CASES: LazyLock<Mutex<HashMap<String, Case>>> = LazyLock::new(Mutex::default);

fn with_case<T>(id: &str, what: impl FnOnce(&mut Case) -> T) -> T {
    let mut cases = CASES.lock().unwrap_or_else(PoisonError::into_inner);
    what(cases.entry(id.to_owned()).or_default())
}

/// Whether these bytes are an answer that turns a request away unseen.
fn turns_away(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes);
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let lines: Vec<&str> = head.split("\r\n").collect();
    let marks: Vec<&&str> =
        lines.iter().filter(|line| line.to_ascii_lowercase().starts_with("x-not-processed")).collect();
    let status = lines[0].split(' ').nth(1).is_some_and(|status| status == "503" || status == "504");
    let length = lines
        .iter()
        .find_map(|line| line.to_ascii_lowercase().strip_prefix("content-length: ")?.parse().ok());
    let whole = text.contains("\r\n\r\n") && length.is_some_and(|length: usize| body.len() >= length);
    status && whole && matches!(marks[..], [mark] if *mark == "X-Not-Processed: 1")
}

/// Whether an upstream that does this may leave its answer unfinished.
fn may_break_off(deed: &ScriptedResponse) -> bool {
    !matches!(
        deed,
        ScriptedResponse::Answer(..)
            | ScriptedResponse::AnswerAndClose
            | ScriptedResponse::AnswerWhenReleased(_)
    )
}

/// An attempt has come whole, and this is what its upstream does with it.
pub fn record_received(message: &Message, deed: &ScriptedResponse) {
    let Some(id) = message.header("x-request-id") else { return };
    let class = message.start_line.split(['/', '?']).nth(1).unwrap_or_default().to_owned();
    with_case(id, |case| {
        case.attempts.received += 1;
        case.attempts.may_truncate |= may_break_off(deed);
    });
    let may_have_run = match deed {
        ScriptedResponse::Answer(status, more, body) => {
            let head = format!("HTTP/1.1 {status} x\r\nContent-Length: {}\r\n{more}\r\n", body.len());
            !turns_away(&[head.as_bytes(), body].concat())
        }
        ScriptedResponse::Raw(bytes)
        | ScriptedResponse::RawAndClose(bytes)
        | ScriptedResponse::RawAndReset(bytes) => !turns_away(bytes),
        // The test itself knows.
        ScriptedResponse::Custom(_) | ScriptedResponse::CustomAndReset(_) => return,
        _ => true,
    };
    with_case(id, |case| {
        case.class = class;
        case.came.push((Instant::now(), may_have_run));
    });
}

/// A client was given its final answer.
pub fn record_answer(id: &str, status: u16) {
    with_case(id, |case| case.answered = Some(status));
}

/// A client has sent this whole to a sidecar there, over a new connection or one that it had kept, and waits for so long.
pub fn record_accepted(id: &str, by: Option<SocketAddr>, timeout: Duration, on_new_connection: bool) {
    let accepted = Instant::now();
    let wait = ClientWait {
        accepted_at: accepted,
        accepted_by: by,
        timeout,
        on_new_connection,
        end: None,
        has_surplus: false,
    };
    with_case(id, |case| case.wait = Some(wait));
}

/// The wait for its answer has ended.
pub fn record_end(id: &str, ended: WaitEnd) {
    with_case(id, |case| {
        if let Some(wait) = &mut case.wait {
            wait.end.get_or_insert(ended);
        }
    });
}

/// More came on its connection than its answer.
pub fn record_surplus(id: &str) {
    with_case(id, |case| {
        if let Some(wait) = &mut case.wait {
            wait.has_surplus = true;
        }
    });
}

/// How a request was lost, if it was.
pub fn violation(id: &str) -> Option<Violation> {
    with_case(id, |case| case.violation())
}

/// Its client sends it once more, as a request of its own under the same id.
pub fn record_client_retry(id: &str) {
    with_case(id, |case| case.again += 1);
}

/// How often a request came whole.
pub fn received_count(id: &str) -> usize {
    with_case(id, |case| case.came.len())
}

impl Case {
    fn violation(&self) -> Option<Violation> {
        self.wait.and_then(|wait| wait.violation(self.attempts))
    }
}

/// No request that was accepted at this address was lost. Each is judged with the sidecar that had accepted it, so that a loss
/// fails the test that it belongs to.
pub fn assert_no_request_lost(address: SocketAddr) {
    let cases = CASES.lock().unwrap_or_else(PoisonError::into_inner);
    let mut counts = RequestCounts::default();
    for (id, case) in &*cases {
        let Some(wait) = case.wait.filter(|wait| wait.accepted_by == Some(address)) else { continue };
        counts.add(&wait, case.attempts);
        assert_eq!(case.violation(), None, "{id} has not got one whole answer in time: {case:?}");
    }
    println!("final answers at {address}: {counts:?}");
}

/// Nothing that may run only once was sent again or refused after it may have run, and nothing with a key after its window.
pub fn assert_no_unsafe_retries() {
    let cases = CASES.lock().unwrap_or_else(PoisonError::into_inner);
    for (id, case) in &*cases {
        let Some(first) = case.came.iter().position(|(_, may_have_run)| *may_have_run) else { continue };
        match case.class.as_str() {
            "bill" => {
                let most = first + 1 + case.again;
                assert!(case.came.len() <= most, "{id} may have run and was sent again: {case:?}");
                assert!(
                    !matches!(case.answered, Some(429 | 503)),
                    "{id} may have run and was refused: {case:?}"
                );
            }
            "log" => {
                let (from, last) = (case.came[first].0, case.came[case.came.len() - 1].0);
                assert!(last - from < WINDOW, "{id} was sent again after its window: {case:?}");
            }
            _ => {}
        }
    }
}
