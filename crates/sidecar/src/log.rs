//! The log: lines on standard error, so many a second at most.

use std::cell::Cell;
use std::fmt::Display;
use std::io::Write;
use std::time::{Duration, Instant};

/// Lines a second. What a broken peer can cause must not fill the disk that holds the log.
const LINES_A_SECOND: u32 = 20;
/// Longer lines are cut: part of them may come from the network.
const LINE_BYTES: usize = 300;

thread_local! {
    static WINDOW: Cell<Option<(Instant, u32)>> = const { Cell::new(None) };
}

/// Writes one line, unless too many were written in this second.
pub fn line(text: impl Display) {
    let now = Instant::now();
    let (since, written) = match WINDOW.get() {
        Some((since, written)) if now - since < Duration::from_secs(1) => (since, written),
        Some((_, written)) if written > LINES_A_SECOND => {
            write(&format!("{} lines left out", written - LINES_A_SECOND));
            (now, 0)
        }
        _ => (now, 0),
    };
    WINDOW.set(Some((since, written.saturating_add(1))));
    if written < LINES_A_SECOND {
        write(&text.to_string());
    }
}

/// A log that cannot be written to is no reason to stop serving.
fn write(text: &str) {
    let plain: String = text.chars().map(|c| if c.is_control() { ' ' } else { c }).take(LINE_BYTES).collect();
    let _ = writeln!(std::io::stderr(), "sagemast: {plain}");
}
