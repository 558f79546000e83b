//! The whole table, and the words of the mark.

use super::*;

const WRITTEN: [Written; 3] = [Written::Nothing, Written::Partial, Written::Complete];
const SAYS: [Says; 4] = [Says::Served, Says::TurnedAway, Says::AtFault, Says::Failed];

fn hows() -> impl Iterator<Item = How> {
    let others = [How::Spoilt, How::Broke, How::TimedOut, How::CalledOff, How::BodyBroke];
    SAYS.into_iter().map(How::Answered).chain(others)
}

fn cells() -> impl Iterator<Item = (How, Written)> {
    hows().flat_map(|how| WRITTEN.map(|written| (how, written)))
}

#[test]
fn what_the_module_is_told_says_the_same_of_whether_it_may_have_run() {
    for (how, written) in cells() {
        let execution = execution(how, written);
        let told = outcome(how, execution);
        assert_eq!(told.may_have_run(), execution == Execution::MayHaveRun, "{how:?}, {written:?}: {told:?}");
    }
}

#[test]
fn a_request_whose_last_byte_was_written_may_have_run_unless_it_was_turned_away() {
    for how in hows() {
        let never = execution(how, Written::Complete) != Execution::MayHaveRun;
        assert_eq!(never, how == How::Answered(Says::TurnedAway), "{how:?}");
    }
}

#[test]
fn only_what_was_not_begun_on_a_used_connection_goes_on_over_another() {
    for (how, written) in cells() {
        let execution = execution(how, written);
        assert!(!is_stale(how, execution, false));
        assert_eq!(is_stale(how, execution, true), how == How::Broke && written == Written::Nothing);
    }
}

#[test]
fn the_mark_counts_once_with_its_value_on_the_two_statuses_only() {
    let marked = |lines: &[(&'static str, &'static str)]| {
        let mut headers = HeaderMap::new();
        for (name, value) in lines {
            headers.append(*name, hyper::header::HeaderValue::from_static(value));
        }
        is_marked(&headers)
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
        let turned_away = says(status, true) == Says::TurnedAway;
        assert_eq!(turned_away, matches!(status.as_u16(), 503 | 504), "{status}");
        assert_ne!(says(status, false), Says::TurnedAway);
    }
}
