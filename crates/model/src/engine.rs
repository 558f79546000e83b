//! The engine: one ordered queue of events in whole nanoseconds. Ties are broken by the number under which an event
//! was put in, so that the same events come out in the same order on any machine.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Simulated time: nanoseconds since the day began.
pub type Nanos = u64;

/// Nanoseconds of a time in milliseconds. Negative and absurd times are now.
pub fn nanos(millis: f64) -> Nanos {
    // A conversion to an integer saturates, and takes what is no number as 0.
    (millis * 1e6).round() as Nanos
}

/// Milliseconds, as the decision module has its times.
pub fn millis(nanos: Nanos) -> f64 {
    nanos as f64 / 1e6
}

#[derive(Debug)]
struct Entry<E> {
    at: Nanos,
    number: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// The queue and the time.
#[derive(Debug)]
pub struct Engine<E> {
    now: Nanos,
    next: u64,
    heap: BinaryHeap<Reverse<Entry<E>>>,
    played: u64,
}

impl<E> Default for Engine<E> {
    fn default() -> Engine<E> {
        Engine { now: 0, next: 0, heap: BinaryHeap::new(), played: 0 }
    }
}

impl<E> Engine<E> {
    /// The time of the event that came out last.
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// Events that have come out.
    pub fn played(&self) -> u64 {
        self.played
    }

    /// Events that are to come.
    pub fn waiting(&self) -> usize {
        self.heap.len()
    }

    /// Puts an event in at a time; one that is past is now.
    pub fn at(&mut self, at: Nanos, event: E) {
        self.next += 1;
        self.heap.push(Reverse(Entry { at: at.max(self.now), number: self.next, event }));
    }

    /// The same so much later than now.
    pub fn after(&mut self, span: Nanos, event: E) {
        self.at(self.now.saturating_add(span), event);
    }

    /// The next event; time moves to it.
    pub fn next_event(&mut self) -> Option<E> {
        let Reverse(Entry { at, event, .. }) = self.heap.pop()?;
        (self.now, self.played) = (at, self.played + 1);
        Some(event)
    }
}
