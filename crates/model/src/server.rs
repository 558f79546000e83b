//! A server: cores, a queue with a bound, in order or shared. All jobs at work progress at one rate, so their ends are
//! kept in units of work done for each (virtual time), whatever happens to the rate meanwhile.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use crate::engine::{Nanos, millis, nanos};

/// Utilisation is reported as a mean over about this time, in milliseconds.
const UTIL_OVER_MS: f64 = 700.0;
/// Weight of one answer in the latency that a server reports.
const LATENCY_WEIGHT: f64 = 0.1;
/// Jobs that found more than this are counted with those that found so many.
const MOST_FOUND: usize = 255;

/// How work is done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Discipline {
    /// One job a core, the others wait in order.
    Fifo,
    /// All jobs share the cores evenly; none gets more than one.
    Shared,
}

/// What a server is like.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shape {
    /// Cores.
    pub cores: usize,
    /// Milliseconds of work that a core does in one.
    pub speed: f64,
    /// Jobs that it holds at most, at work and waiting; more are turned away unseen.
    pub bound: usize,
    /// How work is done.
    pub discipline: Discipline,
}

/// A job, by the number of its attempt.
pub type Job = u64;

/// The order of the ends of work: by units of work, then by number. Never not a number.
#[derive(Debug, Clone, Copy, PartialEq)]
struct EndsAt(f64, Job);

impl Eq for EndsAt {}

impl PartialOrd for EndsAt {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for EndsAt {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

/// A server at work.
#[derive(Debug)]
pub struct Server {
    shape: Shape,
    /// Multiplies the speed: slowness, cold, 0 for one that hangs.
    factor: f64,
    at: Nanos,
    /// Work that each job at work has had done since the server began.
    done: f64,
    working: BinaryHeap<Reverse<EndsAt>>,
    waiting: VecDeque<(Job, f64)>,
    waiting_work: f64,
    util: f64,
    /// By the number of jobs that an answered one had found, how long answers took of late.
    latency: Vec<Option<f64>>,
    /// Work done in all, in milliseconds of one core.
    pub worked: f64,
}

impl Server {
    /// An idle one.
    pub fn new(shape: Shape) -> Server {
        Server {
            shape,
            factor: 1.0,
            at: 0,
            done: 0.0,
            working: BinaryHeap::new(),
            waiting: VecDeque::new(),
            waiting_work: 0.0,
            util: 0.0,
            latency: Vec::new(),
            worked: 0.0,
        }
    }

    /// Jobs that it holds.
    pub fn in_flight(&self) -> usize {
        self.working.len() + self.waiting.len()
    }

    fn busy(&self) -> f64 {
        self.working.len().min(self.shape.cores) as f64
    }

    /// Work that each job at work has done in a millisecond.
    fn rate(&self) -> f64 {
        let share = (self.shape.cores as f64 / self.working.len().max(1) as f64).min(1.0);
        self.shape.speed * self.factor * share
    }

    fn advance(&mut self, now: Nanos) {
        let span = millis(now.saturating_sub(self.at));
        if span > 0.0 {
            let busy = self.busy();
            self.util += (1.0 - (-span / UTIL_OVER_MS).exp()) * (busy / self.shape.cores as f64 - self.util);
            if !self.working.is_empty() {
                self.done += self.rate() * span;
                self.worked += busy * span * self.shape.speed * self.factor;
            }
            self.at = now;
        }
    }

    fn begin(&mut self) {
        let most = match self.shape.discipline {
            Discipline::Fifo => self.shape.cores,
            Discipline::Shared => usize::MAX,
        };
        while self.working.len() < most {
            let Some((job, work)) = self.waiting.pop_front() else { return };
            self.waiting_work -= work;
            self.working.push(Reverse(EndsAt(self.done + work, job)));
        }
    }

    /// Takes a job with so many milliseconds of work; false if it is full.
    pub fn push(&mut self, now: Nanos, job: Job, work: f64) -> bool {
        self.advance(now);
        if self.in_flight() >= self.shape.bound {
            return false;
        }
        self.waiting.push_back((job, work));
        self.waiting_work += work;
        self.begin();
        true
    }

    /// When the next job will have ended, if nothing changes.
    pub fn next_end(&self) -> Option<Nanos> {
        let Reverse(EndsAt(end, _)) = self.working.peek()?;
        let rate = self.rate();
        // Rounded up: at that time it has ended.
        (rate > 0.0).then(|| self.at.saturating_add(nanos((end - self.done).max(0.0) / rate) + 1))
    }

    /// The next job that has ended.
    pub fn pop(&mut self, now: Nanos) -> Option<Job> {
        self.advance(now);
        let Reverse(EndsAt(end, job)) = *self.working.peek()?;
        if end > self.done {
            return None;
        }
        self.working.pop();
        self.begin();
        Some(job)
    }

    /// Changes its speed to so many times its own.
    pub fn set_factor(&mut self, now: Nanos, factor: f64) {
        self.advance(now);
        self.factor = factor;
    }

    /// Loses all that it holds.
    pub fn crash(&mut self, now: Nanos) -> Vec<Job> {
        self.advance(now);
        let mut lost: Vec<Job> = self.working.drain().map(|Reverse(EndsAt(_, job))| job).collect();
        lost.extend(self.waiting.drain(..).map(|(job, _)| job));
        lost.sort_unstable();
        self.waiting_work = 0.0;
        lost
    }

    /// Counts how long an answer took here to a job that had found so many.
    pub fn answered(&mut self, found: usize, took_ms: f64) {
        let found = found.min(MOST_FOUND);
        if self.latency.len() <= found {
            self.latency.resize(found + 1, None);
        }
        let mean = self.latency[found].get_or_insert(took_ms);
        *mean += LATENCY_WEIGHT * (took_ms - *mean);
    }

    /// How long answers took of late to jobs that found about as many as there are now.
    fn usual_latency(&self) -> f64 {
        let now = self.in_flight();
        let known = self.latency.iter().enumerate().filter_map(|(found, mean)| Some((found, (*mean)?)));
        known.min_by_key(|(found, _)| found.abs_diff(now)).map_or(0.0, |(_, mean)| mean)
    }

    /// What it tells of itself: jobs, utilisation, and how long answers take of late.
    pub fn report(&mut self, now: Nanos) -> (f64, f64, f64) {
        self.advance(now);
        (self.in_flight() as f64, self.util.min(1.0), self.usual_latency())
    }

    /// How long a job of this much work would take from now on, as only the true state tells.
    pub fn true_wait(&self, work: f64) -> f64 {
        let left: f64 = self.working.iter().map(|Reverse(EndsAt(end, _))| (end - self.done).max(0.0)).sum();
        let speed = self.shape.speed * self.factor;
        if speed <= 0.0 || self.in_flight() >= self.shape.bound {
            return f64::INFINITY;
        }
        let queue = if self.working.len() < self.shape.cores { 0.0 } else { left + self.waiting_work };
        (queue / self.shape.cores as f64 + work) / speed
    }
}
