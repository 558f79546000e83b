//! When a hold ends, and what is expected after which answers.

use super::*;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// How long an answer is held whose head comes at 0, by its aim, the end of its attempt and what is expected.
fn held_for(aim: u64, attempt: u64, long_expected: bool) -> Duration {
    let head_at = Instant::now();
    let times = HoldTimes { head_at, aim_at: head_at + ms(aim), attempt_times_out_at: head_at + ms(attempt) };
    hold_until(times, long_expected) - head_at
}

#[test]
fn a_hold_ends_with_its_attempt_its_aim_or_its_longest_time() {
    let table = [
        // aim, attempt, long expected: held for
        (300, 800, false, 790),
        (300, 800, true, 290),
        (800, 300, true, 290),
        (300, 60_000, false, 1_500),
        (60_000, 60_000, true, 1_500),
        // Never less than what costs no memory of its own.
        (50, 800, true, 100),
        (50, 60, false, 100),
    ];
    for (aim, attempt, long_expected, held) in table {
        assert_eq!(held_for(aim, attempt, long_expected), ms(held), "{aim} {attempt} {long_expected}");
    }
}

#[test]
fn one_long_answer_is_enough_to_expect_another_and_short_ones_wear_that_off() {
    let lengths = AnswerLengths::default();
    assert!(!lengths.long_expected());
    lengths.record(true);
    assert!(lengths.long_expected());
    let worn_off_after = (1..1_000).find(|_| {
        lengths.record(false);
        !lengths.long_expected()
    });
    assert!(worn_off_after.is_some_and(|answers| (5..20).contains(&answers)), "{worn_off_after:?}");
    // Where one in ten is long it stays expected.
    for number in 0..1_000 {
        lengths.record(number % 10 == 0);
    }
    assert!(lengths.long_expected());
}

#[test]
fn an_answer_comes_on_while_its_silence_is_like_its_gaps() {
    let head_at = Instant::now();
    let mut pace = Pace::new(head_at);
    assert!(!pace.is_progressing(head_at + ms(1)), "nothing has come yet");
    pace.record_piece(head_at, 1);
    assert!(!pace.is_progressing(head_at + ms(50)), "all of it came with its head");
    pace.record_piece(head_at + ms(40), 1);
    assert!(pace.is_progressing(head_at + ms(120)));
    assert!(!pace.is_progressing(head_at + ms(121)));
    pace.record_piece(head_at + ms(300), 1);
    assert!(pace.is_progressing(head_at + ms(700)));
}

#[test]
fn an_answer_that_dribbles_is_not_taken_for_a_long_one_and_a_pause_is_forgiven() {
    let head_at = Instant::now();
    // 40 KiB/s and 4 KiB/s, a piece every 50 ms.
    for (piece, is_long) in [(2 << 10, true), (200, false)] {
        let mut pace = Pace::new(head_at);
        for number in 1..=20 {
            pace.record_piece(head_at + ms(50 * number), piece);
        }
        assert_eq!(pace.may_be_long(head_at + ms(1_000)), is_long, "{piece}");
    }
    // All at its pace but for one pause of a second.
    let mut pace = Pace::new(head_at);
    for number in 1..=10 {
        pace.record_piece(head_at + ms(50 * number), 2 << 10);
    }
    pace.record_piece(head_at + ms(1_500), 2 << 10);
    assert!(pace.may_be_long(head_at + ms(1_500)));
}
