use super::*;
use crate::answer_parser::{AnswerParser, ConnectionEnd, FinalAnswer, Incomplete};

const ID: &str = "00c0ffee00c0ffee";

/// What a client makes of steps that end.
fn read(steps: &[Step]) -> Result<FinalAnswer, Incomplete> {
    let mut parser = AnswerParser::default();
    let mut end = ConnectionEnd::Reset;
    for step in steps {
        match step {
            Step::Write(bytes) => {
                if let Some(answer) = parser.feed(bytes) {
                    return Ok(answer);
                }
            }
            Step::Close => end = ConnectionEnd::Closed,
            Step::Repeat(..) | Step::Stall | Step::Reset | Step::Pause(_) => {}
        }
    }
    parser.finish(end)
}

fn plans() -> Vec<AnswerPlan> {
    let mut rng = Rand64::new(11);
    let timeouts = [350, 3_000].map(Duration::from_millis);
    (0..2_000).map(|number| AnswerPlan::draw(&mut rng, timeouts[number % 2])).collect()
}

#[test]
fn an_attempt_without_a_fault_is_answered_whole_with_the_body_of_its_request() {
    for plan in plans().into_iter().step_by(10) {
        let answer =
            read(&plan.steps(ID, plan.faulty_attempts)).unwrap_or_else(|e| panic!("{plan:?}: {e:?}"));
        assert_eq!((answer.status, answer.surplus_bytes), (200, 0), "{plan:?}");
        assert_eq!(answer.body.len(), plan.body_bytes);
        assert!(answer.body == body_of(ID, plan.body_bytes) && answer.body.starts_with(ID_LINE), "{plan:?}");
        assert!(answer.body != body_of("00c0ffee00c0ffed", plan.body_bytes));
    }
}

const ID_LINE: &[u8] = b"ran 00c0ffee00c0ffee\n";

#[test]
fn an_attempt_with_a_fault_is_whole_to_nobody() {
    let mut broken = 0;
    for plan in plans().iter().filter(|plan| plan.fault.is_some()) {
        for attempt in 0..plan.faulty_attempts {
            assert!(read(&plan.steps(ID, attempt)).is_err(), "{plan:?}");
            broken += 1;
        }
    }
    assert!(broken > 400, "{broken}");
}

#[test]
fn every_framing_size_fault_and_part_is_drawn() {
    let plans = plans();
    for framing in [Framing::ContentLength, Framing::Chunked, Framing::CloseDelimited] {
        for size in [Size::Short, Size::Long] {
            assert!(plans.iter().any(|plan| plan.framing == framing && plan.size() == size));
        }
        for part in Part::ALL {
            for fault in [Fault::Reset(part), Fault::Stall(part)] {
                let drawn = plans.iter().any(|plan| plan.framing == framing && plan.fault == Some(fault));
                assert!(drawn, "{framing:?} {fault}");
            }
        }
    }
    for fault in [Fault::Endless, Fault::Dribble, Fault::Close(Part::InBody)] {
        assert!(plans.iter().any(|plan| plan.fault == Some(fault)), "{fault}");
    }
    for bytes in [SHORT_BYTES, SHORT_BYTES + 1] {
        assert!(plans.iter().any(|plan| plan.body_bytes == bytes), "{bytes}");
    }
}

#[test]
fn a_whole_answer_takes_half_of_its_clients_time_but_for_long_ones_that_outlast_it() {
    let mut rng = Rand64::new(12);
    let mut outlasting = 0;
    for timeout in [350, 900, 3_000].map(Duration::from_millis) {
        for _ in 0..500 {
            let plan = AnswerPlan::draw(&mut rng, timeout);
            let pauses = plan.steps(ID, plan.faulty_attempts).into_iter().map(|step| match step {
                Step::Pause(pause) => pause,
                _ => Duration::ZERO,
            });
            let took: Duration = pauses.sum();
            if took > timeout / 2 + Duration::from_millis(12) {
                assert_eq!((plan.size(), plan.fault), (Size::Long, None), "{plan:?}");
                // What tells the end of a chunked one comes a pause later.
                let beyond = took - timeout;
                assert!(
                    beyond > Duration::from_millis(890) && beyond < Duration::from_millis(1_200),
                    "{took:?}"
                );
                assert!(timeout <= MAX_OUTLASTED && plan.pause < Duration::from_millis(300));
                outlasting += 1;
            }
        }
    }
    assert!((10..100).contains(&outlasting), "{outlasting}");
}
