//! The share of requests that is refused while most, some or no answers are in time, and how soon refusals
//! end.

use super::*;

/// Simulates 20 requests per second. Of those sent, the share `in_time` is answered in time. Returns the
/// refused share of all requests.
fn refused_share(throttle: &mut Throttle, now: &mut Millis, seconds: u32, in_time: f64) -> f64 {
    let mut rng = oorandom::Rand64::new(u128::from(seconds));
    let (mut refused, all) = (0, seconds * 20);
    for _ in 0..all {
        *now += 50.0;
        if rng.rand_float() < throttle.refusal_probability(*now, 600.0) {
            throttle.record_refused();
            refused += 1;
        } else {
            throttle.record_finished(rng.rand_float() < in_time);
        }
    }
    f64::from(refused) / f64::from(all)
}

#[test]
fn no_request_is_refused_while_most_answers_are_in_time() {
    for share in [1.0, 0.95] {
        let refused = refused_share(&mut Throttle::default(), &mut 0.0, 200, share);
        assert!(refused < 0.005, "{share}: {refused}");
    }
    // At the target share, random fluctuations cause a few refusals.
    let refused = refused_share(&mut Throttle::default(), &mut 0.0, 200, 1.0 - TARGET_LATE_SHARE);
    assert!(refused < 0.06, "{refused}");
}

#[test]
fn most_requests_are_refused_while_no_answer_is_in_time_and_few_soon_after() {
    let (mut throttle, mut now) = (Throttle::default(), 0.0);
    refused_share(&mut throttle, &mut now, 10, 0.0);
    let refused = refused_share(&mut throttle, &mut now, 10, 0.0);
    assert!((0.7..0.95).contains(&refused), "{refused}: a few requests are still sent");
    refused_share(&mut throttle, &mut now, 10, 1.0);
    let refused = refused_share(&mut throttle, &mut now, 5, 1.0);
    assert!(refused < 0.02, "{refused}: all requests are sent again");
}

#[test]
fn sidecar_with_one_request_per_second_never_refuses() {
    let (mut throttle, mut now) = (Throttle::default(), 0.0);
    for _ in 0..500 {
        now += 1_000.0;
        assert_eq!(throttle.refusal_probability(now, 600.0), 0.0, "no answer was in time");
        throttle.record_finished(false);
    }
}
