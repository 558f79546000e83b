//! The judge tells each rule that is broken on purpose, with what proves it, and none that is not.

use sagemast_decide::api::*;
use sagemast_model::day::Day;
use sagemast_model::judge::{Fact, Figures, Judge, Rule};
use sagemast_model::outcome::Outcome as Result;
use sagemast_model::policy::{Policy, Truth, named};
use sagemast_model::world::play_with;

/// The project's module, spoilt in one way.
struct Spoilt {
    inner: Box<dyn Policy>,
    how: How,
    servers: Vec<UpstreamId>,
    /// Who started last.
    new: Option<UpstreamId>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum How {
    Not,
    /// Sends again what may have run.
    ResendsUnsafe,
    /// Refuses in place of failing.
    RefusesWhatRan,
    /// Sends twice at once.
    TwoAtOnce,
    /// Tells an answer twice.
    AnswersTwice,
    /// Never answers what it would refuse.
    Silent,
    /// Sends all to whoever started last.
    Floods,
    /// Heeds no news of servers that leave.
    IgnoresDrains,
}

impl Policy for Spoilt {
    fn handle(&mut self, now: Millis, event: Event, truth: &dyn Truth, out: &mut Vec<Action>) {
        let mut event = event;
        if let Event::ListReceived(ListUpdate::Restored(list) | ListUpdate::Changed(list)) = &mut event {
            if self.how == How::IgnoresDrains {
                list.retain(|entry| entry.lifecycle == Lifecycle::Serving);
            }
            let serving = list.iter().filter(|entry| entry.lifecycle == Lifecycle::Serving);
            self.new = serving
                .clone()
                .rfind(|entry| entry.started.is_some())
                .map(|entry| entry.upstream)
                .or(self.new);
            self.servers.extend(serving.map(|entry| entry.upstream));
        }
        let from = out.len();
        self.inner.handle(now, event, truth, out);
        let mut more = Vec::new();
        for action in &mut out[from..] {
            match (self.how, action.clone()) {
                (How::ResendsUnsafe, Action::Fail(request)) => {
                    let upstream = self.servers[now as usize % self.servers.len()];
                    *action = Action::Send { request, upstream, timeout: 100.0 };
                }
                (How::RefusesWhatRan, Action::Fail(request)) => {
                    *action = Action::Refuse { request, retry_after: 0.0 }
                }
                (How::TwoAtOnce, Action::Send { request, timeout, .. }) => {
                    more.push(Action::Send { request, upstream: self.servers[0], timeout });
                }
                (How::AnswersTwice, Action::Refuse { request, .. } | Action::Fail(request)) => {
                    more.push(Action::Fail(request));
                }
                (How::Silent, Action::Refuse { .. } | Action::Fail(_)) => {
                    *action = Action::Log(String::new())
                }
                (How::Floods, Action::Send { request, timeout, .. }) => {
                    // While none is cold all goes where it should: a jam beforehand would have most of it refused.
                    if let Some(upstream) = self.new {
                        *action = Action::Send { request, upstream, timeout };
                    }
                }
                _ => {}
            }
        }
        out.extend(more);
    }
}

fn day() -> Day {
    let day: Day = toml::from_str(
        "length_s = 25\nclients = { sidecars = 3, rate = 150 }\n\
         class = [{ name = \"a\", work_ms = 20, aim_ms = 200, deadline_ms = 600 },\n\
                  { name = \"u\", work_ms = 20, aim_ms = 200, deadline_ms = 600, effect = \"unsafe\" }]\n\
         servers = [{ count = 6, cores = 1 }]\n\
         fault = [{ kind = \"replace\", from_s = 5, for_s = 10, part = 0.3 }, { kind = \"resets\", from_s = 8, for_s = 4, part = 0.5 }]",
    )
    .expect("it is a day");
    assert_eq!(day.faults(), []);
    day
}

fn spoilt(how: How) -> Result {
    let make = |settings: &Settings, seed: u64| -> Option<Box<dyn Policy>> {
        let inner = named("sagemast", settings, seed)?;
        Some(Box::new(Spoilt { inner, how, servers: Vec::new(), new: None }))
    };
    play_with(&day(), &make, 1, false).expect("it is made")
}

#[test]
fn each_rule_that_is_broken_on_purpose_is_told_with_its_proof() {
    let clean = spoilt(How::Not);
    assert_eq!((clean.broken, clean.breaks, clean.left), (0, Vec::new(), 0));
    for (how, rule, proof) in [
        (How::ResendsUnsafe, "NoEffectTwice", "ran again at server"),
        (How::RefusesWhatRan, "NoEffectTwice", "has run, and is refused"),
        (How::TwoAtOnce, "NoEffectTwice", "are out at once"),
        (How::AnswersTwice, "OneAnswer", "is over, and is answered"),
        (How::Silent, "OneAnswer", "had no answer when its client left"),
        (How::Floods, "ColdKept", "of what it may be"),
        (How::IgnoresDrains, "DrainsKept", "after its leave"),
    ] {
        let outcome = spoilt(how);
        let told = outcome.breaks.iter().any(|line| line.contains(rule) && line.contains(proof));
        assert!(told && outcome.broken > 0, "{how:?}: {:?}", outcome.breaks);
    }
}

fn figures() -> Figures {
    Figures { grace: 100, cold_share: 0.2, warm_up: 1_000_000_000, multiple: 2.0, window: 1_000_000 }
}

fn asked(harmful: bool, window: Option<u64>) -> Fact {
    Fact::Asked { request: 1, harmful, window, deadline: 1_000 }
}

#[test]
fn what_is_just_within_the_rules_is_not_told() {
    let sent = |attempt| Fact::Sent { request: 1, attempt, server: 4, sidecar: 0 };
    let ended = |attempt| Fact::Ended { request: 1, attempt };
    let ran = |group| Fact::Ran { request: 1, server: 4, group };
    let told = |facts: &[(u64, Fact)]| -> Vec<Rule> {
        let mut judge = Judge::new(figures());
        facts.iter().for_each(|(at, fact)| judge.hear(*at, *fact));
        judge.breaks().iter().map(|told| told.rule).collect()
    };
    let answered = |refused| Fact::Answered { request: 1, refused };
    // Safe to repeat: it may run twice and be refused all the same.
    assert_eq!(told(&[(0, asked(false, None)), (1, ran(1)), (2, ran(2)), (3, answered(true))]), []);
    // A key: twice in its group and window, not beyond either.
    let keyed = (0, asked(false, Some(50)));
    assert_eq!(told(&[keyed, (10, ran(1)), (60, ran(1))]), []);
    assert_eq!(told(&[keyed, (10, ran(1)), (61, ran(1))]), [Rule::NoEffectTwice]);
    assert_eq!(told(&[keyed, (10, ran(1)), (20, ran(2))]), [Rule::NoEffectTwice]);
    // Refused, and run after that.
    assert_eq!(told(&[(0, asked(true, None)), (1, answered(true)), (2, ran(1))]), [Rule::NoEffectTwice]);
    assert_eq!(told(&[(0, asked(true, None)), (1, answered(false)), (2, ran(1))]), []);
    // In time to the last moment; one attempt after another.
    assert_eq!(
        told(&[(0, asked(true, None)), (1, sent(1)), (2, ended(1)), (3, sent(2)), (1_000, answered(false))]),
        []
    );
    assert_eq!(told(&[(0, asked(true, None)), (1_001, answered(false))]), [Rule::OneAnswer]);
    // The grace of a drain, to the last moment, counts from when this sidecar was told first.
    let leaves = Fact::ToldLeaving { sidecar: 0, server: 4 };
    assert_eq!(told(&[(0, asked(true, None)), (5, leaves), (50, leaves), (105, sent(1))]), []);
    assert_eq!(
        told(&[(0, asked(true, None)), (5, leaves), (50, leaves), (106, sent(1))]),
        [Rule::DrainsKept]
    );
}

#[test]
fn a_cold_server_has_a_budget_in_every_window() {
    let mut judge = Judge::new(figures());
    judge.hear(0, Fact::Started { server: 7, capacity: 10.0 });
    // A window is a millisecond: 10 ms of work, a fifth of it at first, twice over.
    let mut came = |at: u64, work: f64| judge.hear(at, Fact::Came { server: 7, work });
    came(0, 3.9);
    came(1_000_001, 3.9);
    came(1_500_000, 0.05);
    assert!(!judge.fell(7), "{}", judge.worst_surge());
    judge.hear(1_600_000, Fact::Came { server: 7, work: 0.2 });
    assert!(judge.fell(7) && judge.worst_surge() > 1.0);
    assert_eq!(judge.breaks().len(), 1);
    judge.hear(1_000_000_000, Fact::Came { server: 7, work: 1e9 });
    assert_eq!(judge.breaks().len(), 1, "it is warm");
}
