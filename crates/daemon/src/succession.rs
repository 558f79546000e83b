//! One process after another, as the supervisor has to know of it: whom this one comes after, who comes after it, and
//! which listening sockets are no longer its own.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::sync::oneshot;

use crate::config::Place;
use crate::frames::{Kind, Reply};
use crate::handover::Estate;
use crate::id_exchange::IdExchange;
use crate::plan::{Name, State, View};

/// How far the process is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It serves.
    Serving,
    /// It serves, and a successor gets ready.
    Upgrading,
    /// It finishes what it holds.
    Draining,
}

impl Phase {
    /// In a word.
    pub fn word(self) -> &'static str {
        match self {
            Phase::Serving => "serving",
            Phase::Upgrading => "upgrading",
            Phase::Draining => "draining",
        }
    }
}

/// A handover under way.
struct Upgrade {
    reply: Option<oneshot::Sender<Reply>>,
    cancelled: Arc<AtomicBool>,
    /// SIGTERM came meanwhile: it ends the process, and the successor with it.
    ends: bool,
}

/// Whether those that a successor must have ready are.
#[derive(Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Not yet.
    Waiting,
    /// All.
    Ready,
    /// One never will be.
    Hopeless(String),
}

/// The place of this process between its predecessor and its successor.
pub struct Succession {
    phase: Phase,
    /// Those that were ready in the predecessor, and how many generations it runs.
    awaited: Vec<Name>,
    others: u32,
    /// A predecessor serves until it says otherwise.
    comes_after: bool,
    upgrade: Option<Upgrade>,
    /// Places that a successor listens at.
    left_to: HashSet<Place>,
    /// Instances that share the ids of their open requests with a predecessor.
    shares_ids: Vec<Name>,
    /// Kept as long as this process runs: the successor sees by the end of its link that it is alone.
    heir: Option<IdExchange>,
}

impl Succession {
    /// Of a process that comes after nobody.
    pub fn first() -> Succession {
        Succession {
            phase: Phase::Serving,
            awaited: Vec::new(),
            others: 0,
            comes_after: false,
            upgrade: None,
            left_to: HashSet::new(),
            shares_ids: Vec::new(),
            heir: None,
        }
    }

    /// Of one that takes over.
    pub fn after(estate: &mut Estate) -> Succession {
        let awaited = std::mem::take(&mut estate.ready);
        let shares_ids = std::mem::take(&mut estate.shares_ids);
        Succession { awaited, others: estate.others, comes_after: true, shares_ids, ..Succession::first() }
    }

    /// How far the process is.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Instances that share the ids of their open requests with the predecessor.
    pub fn shares_ids(&self) -> &[Name] {
        &self.shares_ids
    }

    /// Tells a successor what is left to tell before this process ends.
    pub fn finish(&mut self) {
        if let Some(exchange) = self.heir.take() {
            exchange.finish();
        }
    }

    /// How many generations the predecessor runs.
    pub fn others(&self) -> u32 {
        self.others
    }

    /// Whether a predecessor may still read from sockets that are to be handed over.
    pub fn others_may_read(&self) -> bool {
        self.comes_after
    }

    /// Whether a handover is under way.
    pub fn is_under_way(&self) -> bool {
        self.upgrade.is_some()
    }

    /// Whether a successor serves in the place of this process.
    pub fn has_heir(&self) -> bool {
        self.heir.is_some()
    }

    /// Whether a successor listens there.
    pub fn is_left(&self, place: &Place) -> bool {
        self.left_to.contains(place)
    }

    /// A handover begins; who asked for it is answered when it has come about, or has not.
    pub fn begin(&mut self, reply: oneshot::Sender<Reply>) {
        self.phase = Phase::Upgrading;
        let cancelled = Arc::new(AtomicBool::new(false));
        self.upgrade = Some(Upgrade { reply: Some(reply), cancelled, ends: false });
    }

    /// Set once the handover under way is cancelled; `None` if there is none.
    pub fn cancelled(&self) -> Option<Arc<AtomicBool>> {
        self.upgrade.as_ref().map(|upgrade| upgrade.cancelled.clone())
    }

    /// The process is to end. True if a handover is under way, which is cancelled first.
    pub fn cancel(&mut self) -> bool {
        let Some(upgrade) = &mut self.upgrade else { return false };
        upgrade.cancelled.store(true, Ordering::Relaxed);
        upgrade.ends = true;
        true
    }

    /// A successor has become ready. Whether it may go on to serve: until then both accept from the same sockets, from
    /// then on only it does.
    pub fn may_go(&mut self, places: Vec<Place>) -> bool {
        let wanted = self.upgrade.as_ref().is_some_and(|upgrade| !upgrade.ends);
        if wanted {
            self.left_to = places.into_iter().collect();
        }
        wanted
    }

    /// A successor serves. True if the process was told to end meanwhile, which was meant for the service.
    pub fn handed_over(&mut self, pid: u32, exchange: IdExchange) -> bool {
        self.heir = Some(exchange);
        self.phase = Phase::Draining;
        let Some(mut upgrade) = self.upgrade.take() else { return false };
        upgrade.answer(Reply::done(format!("process {pid} serves; this one drains")));
        upgrade.ends
    }

    /// Nothing came of the handover, and all places are this process's own again. `None` if none was under way; else
    /// whether the process was told to end meanwhile.
    pub fn failed(&mut self, reason: &str) -> Option<bool> {
        self.left_to.clear();
        let mut upgrade = self.upgrade.take()?;
        upgrade.answer(Reply::error(Kind::Failed, format!("{reason}; the old process goes on")));
        self.phase = Phase::Serving;
        Some(upgrade.ends)
    }

    /// The process drains and ends.
    pub fn drain(&mut self) {
        self.phase = Phase::Draining;
    }

    /// Whether everything that was ready in the predecessor is ready here. One that the new configuration does not
    /// have is not waited for.
    pub fn readiness<S>(&self, view: impl Fn(&Name) -> Option<View<S>>) -> Readiness {
        for name in &self.awaited {
            let Some(view) = view(name) else { continue };
            match (view.state, view.note) {
                (State::Ready | State::Ended, _) => {}
                (State::Waiting | State::Failed, Some(note)) => {
                    return Readiness::Hopeless(format!("{name}: {note}"));
                }
                _ => return Readiness::Waiting,
            }
        }
        Readiness::Ready
    }
}

impl Upgrade {
    fn answer(&mut self, reply: Reply) {
        if let Some(to) = self.reply.take() {
            // Who asked may have gone.
            let _ = to.send(reply);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn under_way() -> (Succession, oneshot::Receiver<Reply>) {
        let (reply, answer) = oneshot::channel();
        let mut succession = Succession::first();
        succession.begin(reply);
        (succession, answer)
    }

    #[test]
    fn one_that_is_told_to_end_does_not_let_its_successor_go() {
        let (mut succession, mut answer) = under_way();
        let place = Place::At(([127, 0, 0, 1], 7071).into());
        let cancelled = succession.cancelled().unwrap();
        assert!(succession.cancel() && cancelled.load(Ordering::Relaxed));
        assert!(!succession.may_go(vec![place.clone()]));
        assert!(!succession.is_left(&place), "it is still this process's own");
        assert_eq!(succession.failed("cancelled"), Some(true), "and ends");
        assert!(answer.try_recv().is_ok(), "who asked is answered");
        assert_eq!(succession.failed("again"), None);
    }

    #[test]
    fn a_failure_takes_every_place_back() {
        let (mut succession, mut answer) = under_way();
        let place = Place::At(([127, 0, 0, 1], 7071).into());
        assert!(succession.may_go(vec![place.clone()]));
        assert!(succession.is_left(&place));
        assert_eq!(succession.failed("it died"), Some(false));
        assert!(!succession.is_left(&place));
        assert_eq!(succession.phase(), Phase::Serving);
        assert!(answer.try_recv().is_ok());
        assert!(!succession.cancel(), "there is nothing to cancel");
    }
}
