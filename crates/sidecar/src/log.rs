//! The log: lines on standard error, with a rate limit for each instance.

use std::fmt::Display;
use std::io::Write;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Rate limit of a log. A broken peer must not be able to fill the disk that holds the log.
const MAX_LINES_PER_SECOND: u32 = 20;
/// Longer lines are truncated, since parts of them may come from the network.
const MAX_LINE_CHARS: usize = 300;

/// Environment variable that, if set to 1, enables a trace line for the end of each attempt and for each
/// final answer.
pub const TRACE_VARIABLE: &str = "SAGEMAST_TRACE";

/// The log of one instance, or of the process. Each log has its own rate limit, so that one instance with
/// many lines does not suppress those of the others.
#[derive(Clone)]
pub struct Log(Arc<Inner>);

struct Inner {
    prefix: String,
    /// Whether trace lines are written.
    tracing: bool,
    /// Start of the current window of one second, and the number of lines in it, suppressed ones included.
    window: Mutex<Option<(Instant, u32)>>,
}

impl Log {
    /// The log of the process.
    pub fn process() -> Log {
        Log::with_prefix(String::new())
    }

    /// The log of a named instance.
    pub fn instance(name: &str) -> Log {
        Log::with_prefix(format!("[{name}] "))
    }

    fn with_prefix(prefix: String) -> Log {
        let tracing = std::env::var_os(TRACE_VARIABLE).is_some_and(|value| value == "1");
        Log(Arc::new(Inner { prefix, tracing, window: Mutex::new(None) }))
    }

    /// Writes a trace line if tracing is enabled. Trace lines have no rate limit.
    pub fn trace(&self, line: impl FnOnce() -> String) {
        if self.0.tracing {
            self.write(&format!("trace: {}", line()));
        }
    }

    /// Writes a line, unless the rate limit has been reached.
    pub fn line(&self, text: impl Display) {
        let now = Instant::now();
        // After a panic of another holder of the lock, the window is still valid.
        let mut window = self.0.window.lock().unwrap_or_else(PoisonError::into_inner);
        let (window_start, lines) = match *window {
            Some((window_start, lines)) if now - window_start < Duration::from_secs(1) => {
                (window_start, lines)
            }
            Some((_, lines)) if lines > MAX_LINES_PER_SECOND => {
                self.write(&format!("{} lines suppressed", lines - MAX_LINES_PER_SECOND));
                (now, 0)
            }
            _ => (now, 0),
        };
        *window = Some((window_start, lines.saturating_add(1)));
        drop(window);
        if lines < MAX_LINES_PER_SECOND {
            self.write(&text.to_string());
        }
    }

    /// Writes to standard error. Failures are ignored: the process serves on without its log.
    fn write(&self, text: &str) {
        let printable: String = text
            .chars()
            .map(|char| if char.is_control() { ' ' } else { char })
            .take(MAX_LINE_CHARS)
            .collect();
        let _ = writeln!(std::io::stderr(), "sagemast: {}{printable}", self.0.prefix);
    }
}
