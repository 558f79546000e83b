//! What became of each accepted request: one outcome each, and the sums by which a run is judged. Pure.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::answer_parser::{FinalAnswer, Incomplete};
use crate::answer_plan::{AnswerPlan, Fault, Size, body_of};
use crate::clients::Class;

/// An answer this much after its client's time only earns nothing; a later one is lost.
pub const LATE_SLACK: Duration = Duration::from_millis(500);

/// How a client's wait for an answer ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// With a whole answer.
    Answer(FinalAnswer),
    /// With the end of the connection.
    Incomplete(Incomplete),
    /// With the client's patience, long after its time: whether an answer had begun.
    GaveUp {
        /// Whether anything of an answer had come.
        begun: bool,
    },
}

/// What became of an accepted request. Each has one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// 200, whole, in time.
    Whole,
    /// 200, whole, within `LATE_SLACK`: it earns nothing.
    WorthlessWhole,
    /// 429 or 503, whole, within `LATE_SLACK`.
    Refused,
    /// Another status, whole, within `LATE_SLACK`.
    Failed,
    /// An answer began and broke off within `LATE_SLACK`, and the client could tell.
    Torn,
    /// An answer had begun and was neither whole nor ended by `LATE_SLACK`.
    Stalled,
    /// A whole answer that came after `LATE_SLACK`.
    Late,
    /// Nothing came, or the connection ended without a byte.
    Unanswered,
    /// It looked whole to the client, and is not what an upstream made for the request, or more came behind it.
    Wrong,
}

impl Outcome {
    /// The outcome of a request with this plan, after so much time since its last byte was written.
    pub fn of(ending: &Ending, id: &str, plan: &AnswerPlan, took: Duration, timeout: Duration) -> Outcome {
        let in_slack = took <= timeout + LATE_SLACK;
        match ending {
            Ending::Answer(answer) if answer.surplus_bytes > 0 => Outcome::Wrong,
            Ending::Answer(answer) if answer.status == 200 && answer.body != body_of(id, plan.body_bytes) => {
                Outcome::Wrong
            }
            Ending::Answer(_) if !in_slack => Outcome::Late,
            Ending::Answer(answer) => match answer.status {
                200 if took <= timeout => Outcome::Whole,
                200 => Outcome::WorthlessWhole,
                429 | 503 => Outcome::Refused,
                _ => Outcome::Failed,
            },
            Ending::Incomplete(Incomplete::Nothing) | Ending::GaveUp { begun: false } => Outcome::Unanswered,
            Ending::Incomplete(Incomplete::Torn) if in_slack => Outcome::Torn,
            Ending::Incomplete(Incomplete::Torn) | Ending::GaveUp { begun: true } => Outcome::Stalled,
        }
    }
}

/// Whether another attempt could have saved a request whose answer was torn or stalled.
pub fn could_be_saved(class: Class, plan: &AnswerPlan) -> bool {
    class != Class::Bill && plan.size() == Size::Short
}

/// The outcomes of a run.
#[derive(Debug, Clone, Default)]
pub struct Audit {
    counts: BTreeMap<Outcome, u64>,
    /// Torn or stalled although another attempt could have saved them.
    pub savable: u64,
    /// Torn or stalled, by shape.
    shapes: BTreeMap<String, u64>,
    /// The same, by what the upstream did to the first attempt.
    faults: BTreeMap<Option<Fault>, u64>,
    /// Refused and failed requests by status.
    statuses: BTreeMap<u16, u64>,
}

impl Audit {
    /// Enters what became of a request.
    pub fn enter(&mut self, outcome: Outcome, ending: &Ending, class: Class, plan: &AnswerPlan) {
        *self.counts.entry(outcome).or_default() += 1;
        if let (Ending::Answer(answer), Outcome::Refused | Outcome::Failed) = (ending, outcome) {
            *self.statuses.entry(answer.status).or_default() += 1;
        }
        if !matches!(outcome, Outcome::Torn | Outcome::Stalled) {
            return;
        }
        let savable = could_be_saved(class, plan);
        self.savable += u64::from(savable);
        let mark = if savable { " SAVABLE" } else { "" };
        let shape = format!("{outcome:?} {:?} {:?} {}{mark}", plan.framing, plan.size(), class.name());
        *self.shapes.entry(shape).or_default() += 1;
        *self.faults.entry(plan.fault).or_default() += 1;
    }

    /// How many ended so.
    pub fn count(&self, outcome: Outcome) -> u64 {
        self.counts.get(&outcome).copied().unwrap_or(0)
    }

    /// All accepted requests.
    pub fn taken(&self) -> u64 {
        self.counts.values().sum()
    }

    /// One line for each status of refused and failed requests, for each shape of answers that were torn or stalled, and
    /// for each fault of their first attempts.
    pub fn explanations(&self) -> Vec<String> {
        let statuses = self.statuses.iter().map(|(status, count)| format!("{count:>6}  answered {status}"));
        let shapes = self.shapes.iter().map(|(shape, count)| format!("{count:>6}  {shape}"));
        let faults = self.faults.iter().map(|(fault, count)| match fault {
            Some(fault) => format!("{count:>6}  torn or stalled, first attempt: {fault}"),
            None => {
                format!("{count:>6}  torn or stalled, first attempt: no fault but its zone's, or too slow")
            }
        });
        statuses.chain(shapes).chain(faults).collect()
    }
}

#[cfg(test)]
mod tests;
