//! When a hold ends, and when the next answer is expected to be long.

use super::*;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// How long an answer is held. The aim and the attempt timeout are in milliseconds after its head.
fn held_for(aim: u64, attempt: u64, long_expected: bool) -> Duration {
    let head_at = Instant::now();
    let times = HoldTimes { head_at, aim_at: head_at + ms(aim), attempt_times_out_at: head_at + ms(attempt) };
    hold_until(times, long_expected) - head_at
}

#[test]
fn hold_ends_with_the_attempt_the_aim_or_the_longest_hold() {
    let table = [
        // aim, attempt timeout, long answer expected, expected hold; in milliseconds
        (300, 800, false, 790),
        (300, 800, true, 290),
        (800, 300, true, 290),
        (300, 60_000, false, 1_500),
        (60_000, 60_000, true, 1_500),
        // At least the minimum hold, which needs no buffer of its own.
        (50, 800, true, 100),
        (50, 60, false, 100),
    ];
    for (aim, attempt, long_expected, expected_ms) in table {
        assert_eq!(held_for(aim, attempt, long_expected), ms(expected_ms), "{aim} {attempt} {long_expected}");
    }
}

#[test]
fn one_long_answer_makes_another_expected_until_enough_short_ones_follow() {
    let lengths = AnswerLengths::default();
    assert!(!lengths.long_expected());
    lengths.record(true);
    assert!(lengths.long_expected());
    let short_answers_needed = (1..1_000).find(|_| {
        lengths.record(false);
        !lengths.long_expected()
    });
    assert!(
        short_answers_needed.is_some_and(|answers| (5..20).contains(&answers)),
        "{short_answers_needed:?}"
    );
    // With one long answer in ten, long answers stay expected.
    for number in 0..1_000 {
        lengths.record(number % 10 == 0);
    }
    assert!(lengths.long_expected());
}

#[test]
fn answer_is_progressing_while_its_pause_is_at_most_twice_its_longest_gap() {
    let head_at = Instant::now();
    let mut pace = Pace::new(head_at);
    assert!(!pace.is_progressing(head_at + ms(1)), "no piece has arrived yet");
    pace.record_piece(head_at, 1);
    assert!(!pace.is_progressing(head_at + ms(50)), "the only piece came with the head");
    pace.record_piece(head_at + ms(40), 1);
    assert!(pace.is_progressing(head_at + ms(120)));
    assert!(!pace.is_progressing(head_at + ms(121)));
    pace.record_piece(head_at + ms(300), 1);
    assert!(pace.is_progressing(head_at + ms(700)));
}

#[test]
fn slow_answer_is_not_taken_for_a_long_one_but_one_pause_is_allowed() {
    let head_at = Instant::now();
    // 40 KiB/s and 4 KiB/s, a piece every 50 ms.
    for (piece_bytes, is_long) in [(2 << 10, true), (200, false)] {
        let mut pace = Pace::new(head_at);
        for number in 1..=20 {
            pace.record_piece(head_at + ms(50 * number), piece_bytes);
        }
        assert_eq!(pace.may_be_long(head_at + ms(1_000)), is_long, "{piece_bytes}");
    }
    // At full pace except for one pause of a second.
    let mut pace = Pace::new(head_at);
    for number in 1..=10 {
        pace.record_piece(head_at + ms(50 * number), 2 << 10);
    }
    pace.record_piece(head_at + ms(1_500), 2 << 10);
    assert!(pace.may_be_long(head_at + ms(1_500)));
}
