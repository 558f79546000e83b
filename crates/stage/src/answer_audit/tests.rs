use super::*;
use crate::answer_plan::{Framing, Part};

const ID: &str = "0123456789abcdef";
const TIMEOUT: Duration = Duration::from_millis(400);
const IN_TIME: Duration = Duration::from_millis(400);
const IN_SLACK: Duration = Duration::from_millis(900);
const TOO_LATE: Duration = Duration::from_millis(901);

fn answer(status: u16, body: Vec<u8>) -> Ending {
    Ending::Answer(FinalAnswer { status, body, keeps_alive: true, surplus_bytes: 0 })
}

#[test]
fn each_ending_at_each_time_has_its_outcome() {
    let plan = AnswerPlan::plain(500);
    let attempts = Attempts { count: 1, worst: WorstAnswer::BrokeOff };
    let (torn, nothing) = (Ending::Incomplete(Incomplete::Torn), Ending::Incomplete(Incomplete::Nothing));
    let (begun, silent) = (Ending::GaveUp { begun: true }, Ending::GaveUp { begun: false });
    let served = answer(200, body_of(ID, 500));
    let mut doubled = served.clone();
    if let Ending::Answer(answer) = &mut doubled {
        answer.surplus_bytes = 1;
    }
    use Outcome::*;
    let table = [
        (served, [Whole, WorthlessWhole, Late]),
        (answer(200, body_of("0123456789abcdee", 500)), [Wrong; 3]),
        (answer(200, body_of(ID, 499)), [Wrong; 3]),
        (doubled, [Wrong; 3]),
        (answer(429, Vec::new()), [Refused, Refused, Late]),
        (answer(503, Vec::new()), [Refused, Refused, Late]),
        (answer(502, Vec::new()), [Failed, Failed, Late]),
        (answer(504, Vec::new()), [Failed, Failed, Late]),
        (torn, [Torn, Torn, Stalled]),
        (nothing, [Unanswered; 3]),
        (begun, [Stalled; 3]),
        (silent, [Unanswered; 3]),
    ];
    for (ending, expected) in table {
        for (took, expected) in [IN_TIME, IN_SLACK, TOO_LATE].into_iter().zip(expected) {
            let observed = Observed { timeout: TIMEOUT, begun: Some(took), took, attempts };
            assert_eq!(Outcome::of(&ending, ID, &plan, observed), expected, "{ending:?} after {took:?}");
        }
    }
}

/// Of an answer over 64 KiB the first bytes are timed, and what its upstream still gives goes on.
#[test]
fn a_long_answer_is_timed_by_its_first_bytes_and_must_not_be_cut_off() {
    use Outcome::*;
    let (long, short) = (AnswerPlan::plain(SHORT_BYTES + 1), AnswerPlan::plain(SHORT_BYTES));
    let (torn, begun) = (Ending::Incomplete(Incomplete::Torn), Ending::GaveUp { begun: true });
    let of = |ending: &Ending, plan: &AnswerPlan, begun, worst| {
        let attempts = Attempts { count: 1, worst };
        let observed = Observed { timeout: TIMEOUT, begun: Some(begun), took: TOO_LATE * 2, attempts };
        Outcome::of(ending, ID, plan, observed)
    };
    for (plan, expected) in [(long, [Whole, WorthlessWhole, Late]), (short, [Late; 3])] {
        let whole = answer(200, body_of(ID, plan.body_bytes));
        for (begun, expected) in [IN_TIME, IN_SLACK, TOO_LATE].into_iter().zip(expected) {
            assert_eq!(of(&whole, &plan, begun, WorstAnswer::Whole), expected, "{begun:?} {plan:?}");
        }
    }
    let table = [
        (WorstAnswer::Whole, [CutOff, CutOff], [StillComing, Stalled]),
        (WorstAnswer::BrokeOff, [Torn, Stalled], [Stalled, Stalled]),
        (WorstAnswer::Stopped, [Stalled, Stalled], [Stalled, Stalled]),
    ];
    for (worst, when_torn, when_given_up) in table {
        for (plan, expected) in [long, short].into_iter().zip(when_torn) {
            assert_eq!(of(&torn, &plan, IN_TIME, worst), expected, "{worst:?} {plan:?}");
        }
        for (plan, expected) in [long, short].into_iter().zip(when_given_up) {
            assert_eq!(of(&begun, &plan, IN_TIME, worst), expected, "{worst:?} {plan:?}");
        }
    }
}

#[test]
fn another_attempt_saves_what_is_short_and_may_be_repeated() {
    let plan = |body_bytes, fault| AnswerPlan { fault, ..AnswerPlan::plain(body_bytes) };
    let reset = Some(Fault::Reset(Part::InBody));
    for (class, repeatable) in Class::ALL.into_iter().zip([true, true, true, false]) {
        assert_eq!(could_be_saved(class, &plan(64 << 10, reset)), repeatable, "{class:?}");
        assert_eq!(could_be_saved(class, &plan(64 << 10, None)), repeatable, "{class:?}");
        assert!(!could_be_saved(class, &plan((64 << 10) + 1, reset)));
        assert!(!could_be_saved(class, &plan(100, Some(Fault::Endless))));
        assert!(!could_be_saved(class, &plan(100, Some(Fault::Dribble))));
    }
}

#[test]
fn the_sums_tell_each_request_once_and_explain_what_broke() {
    let mut audit = Audit::default();
    let short = AnswerPlan { framing: Framing::Chunked, ..AnswerPlan::plain(500) };
    let long = AnswerPlan { fault: Some(Fault::Reset(Part::BeforeEnd)), ..AnswerPlan::plain(100_000) };
    let torn = Ending::Incomplete(Incomplete::Torn);
    audit.enter(Outcome::Whole, &answer(200, Vec::new()), Class::Fetch, &short);
    audit.enter(Outcome::Failed, &answer(502, Vec::new()), Class::Bill, &short);
    audit.enter(Outcome::Torn, &torn, Class::Fetch, &short);
    audit.enter(Outcome::Torn, &torn, Class::Fetch, &long);
    audit.enter(Outcome::Stalled, &Ending::GaveUp { begun: true }, Class::Bill, &short);
    let count = |outcome| audit.count(outcome);
    assert_eq!((audit.taken(), audit.savable, count(Outcome::Torn), count(Outcome::Stalled)), (5, 1, 2, 1));
    let lines = audit.explanations();
    let expected = [
        "     1  answered 502",
        "     1  Stalled Chunked Short copy-bill",
        "     1  Torn Chunked Short page-fetch SAVABLE",
        "     1  Torn ContentLength Long page-fetch",
        "     2  torn or stalled, first attempt: no fault but its zone's, or too slow",
        "     1  torn or stalled, first attempt: reset BeforeEnd",
    ];
    assert_eq!(lines, expected);
}
