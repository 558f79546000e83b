//! What has been run, over all stand-in upstreams: the one place that can tell whether anything ran twice.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The effects of one run. Grows with the number of requests, which the scenarios bound.
#[derive(Debug, Default)]
pub struct Effects(Mutex<Book>);

#[derive(Debug, Default)]
struct Book {
    /// By the request's id, and by the key of keyed ones: how often it took effect.
    by_id: HashMap<String, u32>,
    by_key: HashMap<String, u32>,
    sends_after_drain: u64,
    worst_surge: f64,
    /// By the first letter of the id and the building: attempts that came.
    came: HashMap<(char, &'static str), u64>,
}

impl Effects {
    fn book(&self) -> MutexGuard<'_, Book> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A request has run.
    pub fn ran(&self, id: &str) {
        *self.book().by_id.entry(id.to_owned()).or_default() += 1;
    }

    /// An attempt has come to an upstream in this building.
    pub fn came(&self, id: &str, building: &'static str) {
        let Some(mark) = id.chars().next() else { return };
        *self.book().came.entry((mark, building)).or_default() += 1;
    }

    /// Attempts of clients with this mark that came to a building.
    pub fn came_to(&self, mark: char, building: &'static str) -> u64 {
        self.book().came.get(&(mark, building)).copied().unwrap_or(0)
    }

    /// A keyed request has run, and was not dropped as a repeat.
    pub fn ran_key(&self, key: &str) {
        *self.book().by_key.entry(key.to_owned()).or_default() += 1;
    }

    /// A request came to an upstream that drains, after the grace.
    pub fn sent_after_drain(&self) {
        self.book().sends_after_drain += 1;
    }

    /// A cold upstream was sent this multiple of what it may be sent in a window.
    pub fn surged(&self, ratio: f64) {
        let mut book = self.book();
        book.worst_surge = book.worst_surge.max(ratio);
    }

    /// How often a request took effect.
    pub fn of(&self, id: &str) -> u32 {
        self.book().by_id.get(id).copied().unwrap_or(0)
    }

    /// Of these ids, those that ran more than once.
    pub fn doubled<'a>(&self, ids: impl Iterator<Item = &'a str>) -> usize {
        let book = self.book();
        ids.filter(|id| book.by_id.get(*id).is_some_and(|times| *times > 1)).count()
    }

    /// Keys that took effect more than once.
    pub fn doubled_keys(&self) -> usize {
        self.book().by_key.values().filter(|times| **times > 1).count()
    }

    /// Requests that came to draining upstreams after the grace.
    pub fn sends_after_drain(&self) -> u64 {
        self.book().sends_after_drain
    }

    /// The worst that a cold upstream was sent, as a multiple of what it may be.
    pub fn worst_surge(&self) -> f64 {
        self.book().worst_surge
    }
}
