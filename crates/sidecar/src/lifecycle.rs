//! What an instance does with clients, from its start to its end: one value, changed by one function, and asked by
//! everyone who needs to know. Pure: time is an argument.
//!
//! | stage | open | evacuate | rejoin | close | hand over | its time is up |
//! | --- | --- | --- | --- | --- | --- | --- |
//! | standby | serving, or evacuating | keeps it for later | undoes that | leaving | handed over | - |
//! | serving | - | evacuating | - | leaving | handed over | - |
//! | evacuating | - | - | serving | leaving | handed over | - |
//! | leaving | - | remembers it | refused | - | handed over | closing |
//! | closing | - | remembers it | refused | - | handed over | - |
//! | handed over | - | remembers it | refused | - | - | - |
//!
//! An end is final, and what the first one allowed in time holds. What was evacuated says no at `/up` until it has
//! rejoined, also while it ends.

use std::time::Duration;

use tokio::time::Instant;

/// Once evacuation has begun, a connection with nothing open may carry one more request for this long: its client may be
/// about to send one. 4 s after the call nothing may be held that was asked for within the last 2 s.
pub const EVACUATION_LINGER: Duration = Duration::from_millis(1_200);
/// When the end begins, a connection that has carried nothing may be about to: one that is younger than this still
/// gets an answer, so that nobody is accepted and dropped.
const ABOUT_TO: Duration = Duration::from_millis(500);

/// The last answers take this long to their clients.
const LAST_ANSWERS: Duration = Duration::from_millis(40);

/// What an instance does with clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Not accepting yet: whoever comes is for a predecessor that listens on the same socket.
    Standby,
    /// Serving.
    Serving,
    /// Emptied by the operators: `/up` says no, every answer closes its connection, and it may serve again.
    Evacuating,
    /// The end has begun: still accepting, but every answer closes its connection.
    Draining,
    /// No client comes any more: only what is open is finished.
    Closing,
    /// The same, and whoever still comes is for a successor that listens on the same socket.
    HandedOver,
}

/// How an instance is to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Drain {
    /// Clients still come for this long, by connections that were on their way; then it finishes what is open.
    Close {
        /// For how long.
        linger: Duration,
        /// It ends after this long in all, whatever is open.
        at_most: Duration,
    },
    /// A successor listens on the same socket: it takes no new connection from now on and finishes what is open.
    HandOver {
        /// For how long a connection with nothing open may carry one more request.
        linger: Duration,
        /// It ends after this long, whatever is open.
        at_most: Duration,
    },
}

/// What is wanted of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifecycleRequest {
    /// Accept clients, unless the end has begun.
    Open,
    /// Send clients away.
    Evacuate,
    /// Take them again, unless the end has begun.
    Rejoin,
    /// End.
    Drain(Drain),
}

/// The life of an instance as it stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lifecycle {
    stage: Stage,
    /// Since when the present stage has lasted.
    since: Instant,
    /// Whether the operators have emptied it.
    evacuated: bool,
    /// For how long a connection with nothing open is kept once the socket has a successor.
    linger: Duration,
    /// When the present stage of the end is over, and when all of it must be.
    next: Option<Instant>,
    overdue: Option<Instant>,
}

impl Lifecycle {
    /// One that begins now: in standby, or serving.
    pub fn new(standby: bool, now: Instant) -> Lifecycle {
        let stage = if standby { Stage::Standby } else { Stage::Serving };
        Lifecycle { stage, since: now, evacuated: false, linger: Duration::ZERO, next: None, overdue: None }
    }

    /// What it does.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Takes in a wish; whether it is granted. What changes nothing is granted, too.
    pub fn request(&mut self, wish: LifecycleRequest, now: Instant) -> bool {
        match (self.stage, wish) {
            (Stage::Standby, LifecycleRequest::Open) => {
                self.enter(if self.evacuated { Stage::Evacuating } else { Stage::Serving }, now);
            }
            (_, LifecycleRequest::Open) => {}
            (Stage::Serving, LifecycleRequest::Evacuate) => {
                self.evacuated = true;
                self.enter(Stage::Evacuating, now);
            }
            (_, LifecycleRequest::Evacuate) => self.evacuated = true,
            (Stage::Evacuating, LifecycleRequest::Rejoin) => {
                self.evacuated = false;
                self.enter(Stage::Serving, now);
            }
            (Stage::Standby | Stage::Serving, LifecycleRequest::Rejoin) => self.evacuated = false,
            (Stage::Draining | Stage::Closing | Stage::HandedOver, LifecycleRequest::Rejoin) => return false,
            (
                Stage::Standby | Stage::Serving | Stage::Evacuating,
                LifecycleRequest::Drain(Drain::Close { linger, at_most }),
            ) => {
                self.enter(Stage::Draining, now);
                (self.next, self.overdue) = (Some(now + linger.min(at_most)), Some(now + at_most));
            }
            (Stage::HandedOver, LifecycleRequest::Drain(_)) => {}
            (_, LifecycleRequest::Drain(Drain::HandOver { linger, at_most })) => {
                self.enter(Stage::HandedOver, now);
                self.linger = linger;
                self.overdue = Some(self.overdue.unwrap_or(now + at_most));
            }
            (Stage::Draining | Stage::Closing, LifecycleRequest::Drain(Drain::Close { .. })) => {}
        }
        true
    }

    /// Its driver has failed: who still comes is for a successor.
    pub fn fail(&mut self, now: Instant) {
        if self.stage != Stage::HandedOver {
            self.enter(Stage::HandedOver, now);
        }
        self.linger = Duration::ZERO;
    }

    fn enter(&mut self, stage: Stage, now: Instant) {
        (self.stage, self.since, self.next) = (stage, now, None);
    }

    /// When it is to be told the time again.
    pub fn due(&self) -> Option<Instant> {
        self.next.into_iter().chain(self.overdue).min()
    }

    /// Lets time pass; whether anything has changed.
    pub fn advance(&mut self, now: Instant) -> bool {
        let due = self.stage == Stage::Draining && self.next.is_some_and(|next| next <= now);
        if due {
            self.enter(Stage::Closing, now);
        }
        due
    }

    /// Whether it must be over by now, whatever is open.
    pub fn is_overdue(&self, now: Instant) -> bool {
        self.overdue.is_some_and(|overdue| overdue <= now)
    }

    /// By when whatever is taken must be answered, where there is such a time.
    pub fn answer_by(&self) -> Option<Instant> {
        self.overdue.map(|overdue| overdue.checked_sub(LAST_ANSWERS).unwrap_or(overdue))
    }

    /// Whether the end has begun.
    pub fn ends(&self) -> bool {
        matches!(self.stage, Stage::Draining | Stage::Closing | Stage::HandedOver)
    }

    /// Whether it accepts connections.
    pub fn accepts(&self) -> bool {
        !matches!(self.stage, Stage::Standby | Stage::HandedOver)
    }

    /// Whether no client is to come any more: who still waits to be accepted is, and that is all.
    pub fn closes(&self) -> bool {
        matches!(self.stage, Stage::Closing | Stage::HandedOver)
    }

    /// Whether `/up` may say yes, as far as this is concerned.
    pub fn up(&self) -> bool {
        !self.evacuated
    }

    /// Whether an answer closes its connection, where the next request on it had come whole by then, if one had. What has
    /// come is answered first; in an evacuation only what came while a connection with nothing open might still carry it.
    pub fn closes_after_answer(&self, next_request_at: Option<Instant>) -> bool {
        match self.stage {
            Stage::Standby | Stage::Serving => false,
            Stage::Evacuating => next_request_at.is_none_or(|at| at > self.since + EVACUATION_LINGER),
            Stage::Draining | Stage::Closing | Stage::HandedOver => next_request_at.is_none(),
        }
    }

    /// When a connection is closed on which nothing is open; never where there is no time. `used` if it has carried a
    /// request before.
    pub fn idle_until(&self, accepted: Instant, used: bool) -> Option<Instant> {
        match self.stage {
            Stage::Standby | Stage::Serving => None,
            Stage::Evacuating => Some(self.since.max(accepted) + EVACUATION_LINGER),
            // It gets its one answer while clients may still come.
            Stage::Draining => used.then_some(self.since),
            Stage::Closing if used => Some(self.since),
            Stage::Closing => Some((accepted + ABOUT_TO).min(self.last_call()).max(self.since)),
            Stage::HandedOver if used => Some(self.since + self.linger),
            Stage::HandedOver => Some((accepted + ABOUT_TO).max(self.since + self.linger)),
        }
    }

    /// Until when a connection that holds nothing may wait for a request: later than this none could be answered before all
    /// is over, and what is in a socket then was taken and is lost.
    fn last_call(&self) -> Instant {
        let none = self.since + ABOUT_TO;
        self.overdue.and_then(|overdue| overdue.checked_sub(LAST_ANSWERS * 3)).unwrap_or(none)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const CLOSE: LifecycleRequest = LifecycleRequest::Drain(Drain::Close {
        linger: Duration::from_millis(550),
        at_most: Duration::from_secs(3),
    });
    const HAND_OVER: LifecycleRequest = LifecycleRequest::Drain(Drain::HandOver {
        linger: Duration::from_secs(1),
        at_most: Duration::from_secs(3),
    });

    #[test]
    fn evacuation_is_undone_by_rejoining_and_by_nothing_else() {
        let now = Instant::now();
        let mut life = Lifecycle::new(false, now);
        assert!(life.request(LifecycleRequest::Rejoin, now) && life.up() && !life.closes_after_answer(None));
        assert!(
            life.request(LifecycleRequest::Evacuate, now) && life.request(LifecycleRequest::Evacuate, now)
        );
        assert!(!life.up() && life.accepts() && life.closes_after_answer(None));
        assert!(life.request(LifecycleRequest::Open, now) && !life.up(), "opening is no rejoining");
        assert!(life.request(LifecycleRequest::Rejoin, now));
        assert_eq!((life.stage(), life.up(), life.idle_until(now, true)), (Stage::Serving, true, None));
    }

    #[test]
    fn who_is_evacuated_before_it_opens_opens_evacuated() {
        let now = Instant::now();
        let mut life = Lifecycle::new(true, now);
        life.request(LifecycleRequest::Evacuate, now);
        assert!(!life.accepts() && !life.up());
        life.request(LifecycleRequest::Open, now);
        assert_eq!(life.stage(), Stage::Evacuating);
        let mut life = Lifecycle::new(true, now);
        life.request(LifecycleRequest::Evacuate, now);
        life.request(LifecycleRequest::Rejoin, now);
        life.request(LifecycleRequest::Open, now);
        assert_eq!(life.stage(), Stage::Serving);
    }

    #[test]
    fn an_end_is_final_and_its_time_is_the_first_ones() {
        let start = Instant::now();
        let later = start + Duration::from_secs(1);
        let mut life = Lifecycle::new(false, start);
        life.request(LifecycleRequest::Evacuate, start);
        assert!(life.request(CLOSE, start));
        assert!(
            !life.request(LifecycleRequest::Rejoin, start)
                && life.request(LifecycleRequest::Open, start)
                && life.request(CLOSE, later)
        );
        assert!(!life.up(), "it was evacuated and stays so");
        assert_eq!(life.due(), Some(start + Duration::from_millis(550)));
        assert!(!life.advance(start) && life.advance(later) && life.closes() && life.accepts());
        assert!(life.request(HAND_OVER, later) && !life.accepts());
        assert!(!life.is_overdue(later) && life.is_overdue(start + Duration::from_secs(3)));
    }

    /// Pipelined requests are answered before their connection is closed, but for those that keep coming after an evacuation.
    #[test]
    fn an_answer_closes_its_connection_only_if_no_taken_request_is_behind_it() {
        let now = Instant::now();
        let before = Some(now);
        let late = Some(now + EVACUATION_LINGER + Duration::from_millis(1));
        let mut life = Lifecycle::new(false, now);
        assert!([None, before, late].into_iter().all(|next| !life.closes_after_answer(next)), "serving");
        life.request(LifecycleRequest::Evacuate, now);
        assert_eq!([None, before, late].map(|next| life.closes_after_answer(next)), [true, false, true]);
        for end in [CLOSE, HAND_OVER] {
            let mut life = life;
            life.request(end, now);
            assert_eq!([None, before, late].map(|next| life.closes_after_answer(next)), [true, false, false]);
        }
    }

    /// Where deadlines are short the end comes before a silent connection has had its time: it is closed while an answer
    /// could still be given.
    #[test]
    fn a_silent_connection_is_closed_before_what_it_says_could_not_be_answered() {
        let start = Instant::now();
        let at_most = Duration::from_millis(60 + 640);
        let mut life = Lifecycle::new(false, start);
        life.request(
            LifecycleRequest::Drain(Drain::Close { linger: Duration::from_millis(550), at_most }),
            start,
        );
        let closing = start + Duration::from_millis(550);
        assert!(life.advance(closing));
        let until = life.idle_until(closing, false).expect("it is closed at some time");
        assert!(until < life.answer_by().expect("there is an end"), "an answer still has its time");
        assert!(until >= closing);
    }

    /// Any order of wishes and of time passing.
    #[test]
    fn no_order_of_events_leads_out_of_an_end_or_leaves_a_connection_for_good() {
        let mut rng = oorandom::Rand64::new(11);
        for _ in 0..20_000 {
            let start = Instant::now();
            let mut now = start;
            let mut life = Lifecycle::new(rng.rand_range(0..2) == 0, now);
            for _ in 0..rng.rand_range(1..12) {
                now += Duration::from_millis(rng.rand_range(0..900));
                let before = life;
                match rng.rand_range(0..7) {
                    0 => assert!(life.request(LifecycleRequest::Open, now)),
                    1 => assert!(life.request(LifecycleRequest::Evacuate, now) && !life.up()),
                    2 => assert_eq!(life.request(LifecycleRequest::Rejoin, now), !before.ends()),
                    3 if rng.rand_range(0..3) == 0 => assert!(life.request(CLOSE, now) && life.ends()),
                    4 if rng.rand_range(0..3) == 0 => {
                        assert!(life.request(HAND_OVER, now) && !life.accepts());
                    }
                    _ => assert_eq!(life.advance(now), life != before),
                }
                assert!(life.ends() || !before.ends(), "an end is final");
                assert!(life.stage() == Stage::HandedOver || before.stage() != Stage::HandedOver);
                assert!(!life.up() || before.up() || !before.ends(), "who ended evacuated stays so");
                assert_eq!(life.ends(), life.overdue.is_some(), "every end has its time");
                assert!(life.overdue.is_none_or(|at| at <= now + Duration::from_secs(3)));
                if let Some(first) = before.overdue {
                    assert_eq!(life.overdue, Some(first));
                }
                // Whatever is idle is closed within a stated time, but for one that carries its first request.
                let age = Duration::from_millis(rng.rand_range(0..5_000));
                let (accepted, used) = (now.checked_sub(age).unwrap_or(start), rng.rand_range(0..2) == 0);
                let until = life.idle_until(accepted, used);
                match life.stage() {
                    Stage::Standby | Stage::Serving => assert_eq!(until, None),
                    Stage::Draining if !used => assert_eq!(until, None),
                    _ => assert!(until.is_some_and(|until| until <= now + EVACUATION_LINGER)),
                }
            }
        }
    }
}
