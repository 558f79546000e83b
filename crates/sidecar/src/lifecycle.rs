//! The lifecycle of an instance towards its clients, from start to end: a state machine that every part
//! consults. Pure: the time is an argument.
//!
//! | stage | open | evacuate | rejoin | close | hand over | time passes |
//! | --- | --- | --- | --- | --- | --- | --- |
//! | standby | serving, or evacuating | stored until open | cancels a stored evacuation | draining | handed over | - |
//! | serving | - | evacuating | - | draining | handed over | - |
//! | evacuating | - | - | serving | draining | handed over | - |
//! | draining | - | stored | refused | - | handed over | closing |
//! | closing | - | stored | refused | - | handed over | - |
//! | handed over | - | stored | refused | - | - | - |
//!
//! The last three stages are final, and the time limit of the first drain stays in force. An evacuated
//! instance answers 503 at `/up` until it has rejoined, also while it drains.

use std::time::Duration;

use tokio::time::Instant;

/// After an evacuation has begun, an idle connection may carry one more request for this long, since its
/// client may be about to send one. 4 s after the operators' call to evacuate, no connection may be open that
/// has carried a request within the last 2 s.
pub const EVACUATION_LINGER: Duration = Duration::from_millis(1_200);
/// When an instance closes, a connection that has never carried a request may be about to carry its first.
/// Until the connection is this old, that request still gets an answer, so that no connection is accepted and
/// then dropped.
const UNUSED_CONNECTION_GRACE: Duration = Duration::from_millis(500);

/// Time for the last answers to reach their clients.
const FINAL_ANSWERS_MARGIN: Duration = Duration::from_millis(40);

/// The stage of an instance towards its clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Not accepting yet: a predecessor that listens on the same socket accepts the clients.
    Standby,
    /// Accepting clients and answering their requests.
    Serving,
    /// Evacuated by the operators: `/up` answers 503, every answer closes its connection, and the instance
    /// may rejoin.
    Evacuating,
    /// Still accepting, but every answer closes its connection.
    Draining,
    /// Accepting only what is in the accept queue, then finishing open requests.
    Closing,
    /// Finishing open requests; a successor that listens on the same socket accepts the clients.
    HandedOver,
}

/// How an instance is to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Drain {
    /// Accept connections for the linger time, since clients may still be connecting; then release the
    /// listener and finish open requests.
    Close {
        /// How long connections are still accepted.
        linger: Duration,
        /// Time limit for the whole drain, whatever is open.
        max_duration: Duration,
    },
    /// A successor listens on the same socket: accept no more connections, and finish open requests.
    HandOver {
        /// How long an idle connection may carry one more request.
        linger: Duration,
        /// Time limit for the whole drain, whatever is open.
        max_duration: Duration,
    },
}

/// A requested change of the lifecycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifecycleRequest {
    /// Accept clients, unless the instance is ending.
    Open,
    /// Answer 503 at `/up` and close each connection after its answer, until the instance rejoins.
    Evacuate,
    /// Accept clients again after an evacuation, unless the instance is ending.
    Rejoin,
    /// Stop accepting clients and end.
    Drain(Drain),
}

/// The current state of an instance's lifecycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lifecycle {
    stage: Stage,
    /// When the current stage began.
    stage_since: Instant,
    /// Whether the operators have evacuated the instance.
    evacuated: bool,
    /// How long an idle connection is kept after a handover.
    handover_linger: Duration,
    /// When draining becomes closing.
    closing_at: Option<Instant>,
    /// When the instance must have ended, whatever is open.
    end_by: Option<Instant>,
}

impl Lifecycle {
    /// A lifecycle that begins in standby or, if `standby` is false, serving.
    pub fn new(standby: bool, now: Instant) -> Lifecycle {
        let stage = if standby { Stage::Standby } else { Stage::Serving };
        Lifecycle {
            stage,
            stage_since: now,
            evacuated: false,
            handover_linger: Duration::ZERO,
            closing_at: None,
            end_by: None,
        }
    }

    /// The current stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Applies a request. Returns whether it is granted, which includes requests that change nothing.
    pub fn request(&mut self, request: LifecycleRequest, now: Instant) -> bool {
        match (self.stage, request) {
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
                LifecycleRequest::Drain(Drain::Close { linger, max_duration }),
            ) => {
                self.enter(Stage::Draining, now);
                (self.closing_at, self.end_by) =
                    (Some(now + linger.min(max_duration)), Some(now + max_duration));
            }
            (Stage::HandedOver, LifecycleRequest::Drain(_)) => {}
            (_, LifecycleRequest::Drain(Drain::HandOver { linger, max_duration })) => {
                self.enter(Stage::HandedOver, now);
                self.handover_linger = linger;
                self.end_by = Some(self.end_by.unwrap_or(now + max_duration));
            }
            (Stage::Draining | Stage::Closing, LifecycleRequest::Drain(Drain::Close { .. })) => {}
        }
        true
    }

    /// Ends the lifecycle after the driver has failed: a successor accepts clients from now on.
    pub fn fail(&mut self, now: Instant) {
        if self.stage != Stage::HandedOver {
            self.enter(Stage::HandedOver, now);
        }
        self.handover_linger = Duration::ZERO;
    }

    fn enter(&mut self, stage: Stage, now: Instant) {
        (self.stage, self.stage_since, self.closing_at) = (stage, now, None);
    }

    /// When [`Lifecycle::advance`] or [`Lifecycle::is_overdue`] must be called next.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.closing_at.into_iter().chain(self.end_by).min()
    }

    /// Enters closing once the linger time of a drain has passed. Returns whether the stage has changed.
    pub fn advance(&mut self, now: Instant) -> bool {
        let due = self.stage == Stage::Draining && self.closing_at.is_some_and(|at| at <= now);
        if due {
            self.enter(Stage::Closing, now);
        }
        due
    }

    /// Whether the instance must have ended by now, whatever is open.
    pub fn is_overdue(&self, now: Instant) -> bool {
        self.end_by.is_some_and(|end_by| end_by <= now)
    }

    /// When every accepted request must have its answer; `None` before a drain.
    pub fn answers_due_by(&self) -> Option<Instant> {
        self.end_by.map(|end_by| end_by.checked_sub(FINAL_ANSWERS_MARGIN).unwrap_or(end_by))
    }

    /// Whether the instance drains, closes or is handed over.
    pub fn is_ending(&self) -> bool {
        matches!(self.stage, Stage::Draining | Stage::Closing | Stage::HandedOver)
    }

    /// Whether the instance accepts connections.
    pub fn is_accepting(&self) -> bool {
        !matches!(self.stage, Stage::Standby | Stage::HandedOver)
    }

    /// Whether the listener is to be released, once the accept queue is empty.
    pub fn is_closing(&self) -> bool {
        matches!(self.stage, Stage::Closing | Stage::HandedOver)
    }

    /// Whether `/up` may answer 200, as far as the lifecycle is concerned.
    pub fn reports_up(&self) -> bool {
        !self.evacuated
    }

    /// Whether an answer closes its connection. `next_request_at` is when the pipelined request behind it was
    /// complete, if there is one. Pipelined requests are answered first; in an evacuation only those that
    /// came within [`EVACUATION_LINGER`].
    pub fn closes_after_answer(&self, next_request_at: Option<Instant>) -> bool {
        match self.stage {
            Stage::Standby | Stage::Serving => false,
            Stage::Evacuating => next_request_at.is_none_or(|at| at > self.stage_since + EVACUATION_LINGER),
            Stage::Draining | Stage::Closing | Stage::HandedOver => next_request_at.is_none(),
        }
    }

    /// When a connection without an open request is closed; `None` if the lifecycle sets no time. `used` is
    /// whether the connection has carried a request.
    pub fn idle_close_at(&self, accepted_at: Instant, used: bool) -> Option<Instant> {
        match self.stage {
            Stage::Standby | Stage::Serving => None,
            Stage::Evacuating => Some(self.stage_since.max(accepted_at) + EVACUATION_LINGER),
            // While clients may still connect, an unused connection stays open for one request.
            Stage::Draining => used.then_some(self.stage_since),
            Stage::Closing if used => Some(self.stage_since),
            Stage::Closing => Some(
                (accepted_at + UNUSED_CONNECTION_GRACE).min(self.unused_close_by()).max(self.stage_since),
            ),
            Stage::HandedOver if used => Some(self.stage_since + self.handover_linger),
            Stage::HandedOver => {
                Some((accepted_at + UNUSED_CONNECTION_GRACE).max(self.stage_since + self.handover_linger))
            }
        }
    }

    /// When a closing instance closes unused connections at the latest. A request that came later could not
    /// be answered before the end, and a request that is in the socket then has been accepted and would be
    /// lost.
    fn unused_close_by(&self) -> Instant {
        let without_limit = self.stage_since + UNUSED_CONNECTION_GRACE;
        self.end_by.and_then(|end_by| end_by.checked_sub(FINAL_ANSWERS_MARGIN * 3)).unwrap_or(without_limit)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const CLOSE: LifecycleRequest = LifecycleRequest::Drain(Drain::Close {
        linger: Duration::from_millis(550),
        max_duration: Duration::from_secs(3),
    });
    const HAND_OVER: LifecycleRequest = LifecycleRequest::Drain(Drain::HandOver {
        linger: Duration::from_secs(1),
        max_duration: Duration::from_secs(3),
    });

    #[test]
    fn evacuation_is_undone_by_rejoin_and_not_by_open() {
        let now = Instant::now();
        let mut lifecycle = Lifecycle::new(false, now);
        assert!(
            lifecycle.request(LifecycleRequest::Rejoin, now)
                && lifecycle.reports_up()
                && !lifecycle.closes_after_answer(None)
        );
        assert!(
            lifecycle.request(LifecycleRequest::Evacuate, now)
                && lifecycle.request(LifecycleRequest::Evacuate, now)
        );
        assert!(!lifecycle.reports_up() && lifecycle.is_accepting() && lifecycle.closes_after_answer(None));
        assert!(
            lifecycle.request(LifecycleRequest::Open, now) && !lifecycle.reports_up(),
            "open must not undo an evacuation"
        );
        assert!(lifecycle.request(LifecycleRequest::Rejoin, now));
        assert_eq!(
            (lifecycle.stage(), lifecycle.reports_up(), lifecycle.idle_close_at(now, true)),
            (Stage::Serving, true, None)
        );
    }

    #[test]
    fn instance_evacuated_in_standby_opens_evacuated_unless_it_has_rejoined() {
        let now = Instant::now();
        let mut lifecycle = Lifecycle::new(true, now);
        lifecycle.request(LifecycleRequest::Evacuate, now);
        assert!(!lifecycle.is_accepting() && !lifecycle.reports_up());
        lifecycle.request(LifecycleRequest::Open, now);
        assert_eq!(lifecycle.stage(), Stage::Evacuating);
        let mut lifecycle = Lifecycle::new(true, now);
        lifecycle.request(LifecycleRequest::Evacuate, now);
        lifecycle.request(LifecycleRequest::Rejoin, now);
        lifecycle.request(LifecycleRequest::Open, now);
        assert_eq!(lifecycle.stage(), Stage::Serving);
    }

    #[test]
    fn drain_is_final_and_keeps_the_time_limit_of_the_first_request() {
        let start = Instant::now();
        let later = start + Duration::from_secs(1);
        let mut lifecycle = Lifecycle::new(false, start);
        lifecycle.request(LifecycleRequest::Evacuate, start);
        assert!(lifecycle.request(CLOSE, start));
        assert!(
            !lifecycle.request(LifecycleRequest::Rejoin, start)
                && lifecycle.request(LifecycleRequest::Open, start)
                && lifecycle.request(CLOSE, later)
        );
        assert!(!lifecycle.reports_up(), "a drain must not undo the evacuation");
        assert_eq!(lifecycle.next_deadline(), Some(start + Duration::from_millis(550)));
        assert!(
            !lifecycle.advance(start)
                && lifecycle.advance(later)
                && lifecycle.is_closing()
                && lifecycle.is_accepting()
        );
        assert!(lifecycle.request(HAND_OVER, later) && !lifecycle.is_accepting());
        assert!(!lifecycle.is_overdue(later) && lifecycle.is_overdue(start + Duration::from_secs(3)));
    }

    /// Pipelined requests are answered before their connection is closed, except those that came too late
    /// after an evacuation.
    #[test]
    fn answer_closes_its_connection_only_without_a_pipelined_request_behind_it() {
        let now = Instant::now();
        let early = Some(now);
        let late = Some(now + EVACUATION_LINGER + Duration::from_millis(1));
        let mut lifecycle = Lifecycle::new(false, now);
        assert!([None, early, late].into_iter().all(|next| !lifecycle.closes_after_answer(next)), "serving");
        lifecycle.request(LifecycleRequest::Evacuate, now);
        assert_eq!([None, early, late].map(|next| lifecycle.closes_after_answer(next)), [true, false, true]);
        for drain in [CLOSE, HAND_OVER] {
            let mut lifecycle = lifecycle;
            lifecycle.request(drain, now);
            assert_eq!(
                [None, early, late].map(|next| lifecycle.closes_after_answer(next)),
                [true, false, false]
            );
        }
    }

    /// With short deadlines the drain ends before an unused connection has had its grace period. It must be
    /// closed while a request on it could still be answered.
    #[test]
    fn unused_connection_is_closed_while_a_request_on_it_could_still_be_answered() {
        let start = Instant::now();
        let max_duration = Duration::from_millis(60 + 640);
        let mut lifecycle = Lifecycle::new(false, start);
        lifecycle.request(
            LifecycleRequest::Drain(Drain::Close { linger: Duration::from_millis(550), max_duration }),
            start,
        );
        let closing_at = start + Duration::from_millis(550);
        assert!(lifecycle.advance(closing_at));
        let close_at = lifecycle.idle_close_at(closing_at, false).expect("no close time");
        assert!(
            close_at < lifecycle.answers_due_by().expect("no time limit"),
            "no time is left for an answer"
        );
        assert!(close_at >= closing_at);
    }

    /// Random sequences of requests and of time passing.
    #[test]
    fn no_event_sequence_leaves_a_final_stage_or_keeps_an_idle_connection_open() {
        let mut rng = oorandom::Rand64::new(11);
        for _ in 0..20_000 {
            let start = Instant::now();
            let mut now = start;
            let mut lifecycle = Lifecycle::new(rng.rand_range(0..2) == 0, now);
            for _ in 0..rng.rand_range(1..12) {
                now += Duration::from_millis(rng.rand_range(0..900));
                let before = lifecycle;
                match rng.rand_range(0..7) {
                    0 => assert!(lifecycle.request(LifecycleRequest::Open, now)),
                    1 => {
                        assert!(lifecycle.request(LifecycleRequest::Evacuate, now) && !lifecycle.reports_up())
                    }
                    2 => assert_eq!(lifecycle.request(LifecycleRequest::Rejoin, now), !before.is_ending()),
                    3 if rng.rand_range(0..3) == 0 => {
                        assert!(lifecycle.request(CLOSE, now) && lifecycle.is_ending())
                    }
                    4 if rng.rand_range(0..3) == 0 => {
                        assert!(lifecycle.request(HAND_OVER, now) && !lifecycle.is_accepting());
                    }
                    _ => assert_eq!(lifecycle.advance(now), lifecycle != before),
                }
                assert!(lifecycle.is_ending() || !before.is_ending(), "a drain is final");
                assert!(lifecycle.stage() == Stage::HandedOver || before.stage() != Stage::HandedOver);
                assert!(
                    !lifecycle.reports_up() || before.reports_up() || !before.is_ending(),
                    "an instance that drains evacuated stays evacuated"
                );
                assert_eq!(lifecycle.is_ending(), lifecycle.end_by.is_some(), "every drain has a time limit");
                assert!(lifecycle.end_by.is_none_or(|at| at <= now + Duration::from_secs(3)));
                if let Some(first) = before.end_by {
                    assert_eq!(lifecycle.end_by, Some(first));
                }
                // Every idle connection is closed within a stated time, except an unused one during a drain.
                let age = Duration::from_millis(rng.rand_range(0..5_000));
                let (accepted_at, used) = (now.checked_sub(age).unwrap_or(start), rng.rand_range(0..2) == 0);
                let close_at = lifecycle.idle_close_at(accepted_at, used);
                match lifecycle.stage() {
                    Stage::Standby | Stage::Serving => assert_eq!(close_at, None),
                    Stage::Draining if !used => assert_eq!(close_at, None),
                    _ => assert!(close_at.is_some_and(|at| at <= now + EVACUATION_LINGER)),
                }
            }
        }
    }
}
