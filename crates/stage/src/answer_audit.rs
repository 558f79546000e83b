//! What became of each accepted request: one outcome each, and the sums by which a run is judged. Pure.
//!
//! An answer's time is that of its last byte. Of one over `SHORT_BYTES` the first bytes of its body are timed; the rest goes
//! on for as long as its upstream gives it, and who cuts that off loses the request.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::answer_parser::{FinalAnswer, Incomplete};
use crate::answer_plan::{AnswerPlan, Fault, SHORT_BYTES, Size, body_of};
use crate::clients::Class;
use crate::scripted_upstream::{Attempts, WorstAnswer};

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

/// What is known of a request at the end of its client's wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observed {
    /// How long its client was ready to wait, from its last byte on.
    pub timeout: Duration,
    /// The time from its last byte to the first of an answer's body, if one came.
    pub begun: Option<Duration>,
    /// The time from its last byte to the end of the wait.
    pub took: Duration,
    /// What upstreams did with it.
    pub attempts: Attempts,
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
    /// An answer began and broke off because its upstream's did, and the client could tell.
    Torn,
    /// An answer over `SHORT_BYTES` that its upstream still gave when the client stopped looking.
    StillComing,
    /// An answer had begun whose upstream had stopped or had no end, and was not ended by `LATE_SLACK`.
    Stalled,
    /// A whole answer that came after `LATE_SLACK`.
    Late,
    /// Nothing came, or the connection ended without a byte.
    Unanswered,
    /// An answer broke off although every attempt's upstream gave it whole.
    CutOff,
    /// It looked whole to the client, and is not what an upstream made for the request, or more came behind it.
    Wrong,
}

impl Outcome {
    /// The outcome of a request with this plan.
    pub fn of(ending: &Ending, id: &str, plan: &AnswerPlan, observed: Observed) -> Outcome {
        let Observed { timeout, begun, took, attempts } = observed;
        let slack = timeout + LATE_SLACK;
        let is_long = plan.size() != Size::Short;
        match ending {
            Ending::Answer(answer) => {
                let is_made = answer.status != 200 || answer.body == body_of(id, plan.body_bytes);
                if !is_made || answer.surplus_bytes > 0 {
                    return Outcome::Wrong;
                }
                let timed = begun.filter(|_| answer.body.len() > SHORT_BYTES).unwrap_or(took);
                match answer.status {
                    _ if timed > slack => Outcome::Late,
                    200 if timed <= timeout => Outcome::Whole,
                    200 => Outcome::WorthlessWhole,
                    429 | 503 => Outcome::Refused,
                    _ => Outcome::Failed,
                }
            }
            Ending::Incomplete(Incomplete::Nothing) | Ending::GaveUp { begun: false } => Outcome::Unanswered,
            Ending::Incomplete(Incomplete::Torn) => match attempts.worst {
                WorstAnswer::Whole => Outcome::CutOff,
                WorstAnswer::BrokeOff if is_long => Outcome::Torn,
                _ if took <= slack => Outcome::Torn,
                _ => Outcome::Stalled,
            },
            Ending::GaveUp { begun: true } => match attempts.worst {
                WorstAnswer::Whole if is_long => Outcome::StillComing,
                _ => Outcome::Stalled,
            },
        }
    }

    /// Whether no request may end so.
    pub fn is_lost(self) -> bool {
        match self {
            Outcome::Whole | Outcome::WorthlessWhole | Outcome::Refused | Outcome::Failed => false,
            Outcome::Torn | Outcome::StillComing => false,
            Outcome::Stalled | Outcome::Late | Outcome::Unanswered => true,
            Outcome::CutOff | Outcome::Wrong => true,
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
