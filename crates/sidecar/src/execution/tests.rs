//! Every cell of the table in the module's documentation, and the forms of the not-processed mark.

use super::*;

const WRITTEN: [Written; 3] = [Written::Nothing, Written::Partial, Written::Complete];
const ANSWER_KINDS: [AnswerKind; 4] =
    [AnswerKind::Served, AnswerKind::NotProcessed, AnswerKind::InvalidRequest, AnswerKind::Failed];

fn terminations() -> impl Iterator<Item = Termination> {
    let unanswered = [
        Termination::Malformed,
        Termination::ConnectionLost,
        Termination::TimedOut,
        Termination::Cancelled,
        Termination::BodyIncomplete,
    ];
    ANSWER_KINDS.into_iter().map(Termination::Answered).chain(unanswered)
}

fn table_cells() -> impl Iterator<Item = (Termination, Written)> {
    terminations().flat_map(|termination| WRITTEN.map(|written| (termination, written)))
}

#[test]
fn outcome_and_execution_agree_on_whether_the_attempt_may_have_run() {
    for (termination, written) in table_cells() {
        let execution = execution(termination, written);
        let outcome = outcome(termination, execution);
        assert_eq!(
            outcome.may_have_run(),
            execution == Execution::MayHaveRun,
            "{termination:?}, {written:?}: {outcome:?}"
        );
    }
}

#[test]
fn completely_written_request_may_have_run_unless_it_was_answered_as_not_processed() {
    for termination in terminations() {
        let proven_not_run = execution(termination, Written::Complete) != Execution::MayHaveRun;
        assert_eq!(
            proven_not_run,
            termination == Termination::Answered(AnswerKind::NotProcessed),
            "{termination:?}"
        );
    }
}

#[test]
fn connection_is_stale_only_if_reused_and_lost_before_anything_was_written() {
    for (termination, written) in table_cells() {
        let execution = execution(termination, written);
        assert!(!is_stale_connection(termination, execution, false));
        assert_eq!(
            is_stale_connection(termination, execution, true),
            termination == Termination::ConnectionLost && written == Written::Nothing
        );
    }
}

#[test]
fn mark_counts_only_once_with_its_exact_value_and_only_on_503_and_504() {
    let marked = |lines: &[(&'static str, &'static str)]| {
        let mut headers = HeaderMap::new();
        for (name, value) in lines {
            headers.append(*name, hyper::header::HeaderValue::from_static(value));
        }
        is_marked_not_processed(&headers)
    };
    assert!(marked(&[("x-not-processed", "1")]));
    for lines in [
        &[][..],
        &[("x-not-processed", "0")],
        &[("x-not-processed", "true")],
        &[("x-not-processed", "1, 1")],
        &[("x-not-processed", "1"), ("x-not-processed", "1")],
        &[("x-not-processed", "1"), ("x-not-processed", "0")],
        &[("x-not-processed", "1"), ("content-length", "1"), ("transfer-encoding", "chunked")],
    ] {
        assert!(!marked(lines), "{lines:?}");
    }
    for status in (100..600).filter_map(|code| StatusCode::from_u16(code).ok()) {
        let not_processed = classify_answer(status, true) == AnswerKind::NotProcessed;
        assert_eq!(not_processed, matches!(status.as_u16(), 503 | 504), "{status}");
        assert_ne!(classify_answer(status, false), AnswerKind::NotProcessed);
    }
}
