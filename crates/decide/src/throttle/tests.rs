//! What is turned away where most, half and nothing is answered in time, and how soon that ends.

use super::*;

/// The share that is turned away in so many seconds of 20 requests each, of which this share of those sent is in time.
fn turned_away(throttle: &mut Throttle, now: &mut Millis, seconds: u32, in_time: f64) -> f64 {
    let mut rng = oorandom::Rand64::new(u128::from(seconds));
    let (mut turned, all) = (0, seconds * 20);
    for _ in 0..all {
        *now += 50.0;
        if rng.rand_float() < throttle.refusal_probability(*now, 600.0) {
            throttle.record_refused();
            turned += 1;
        } else {
            throttle.record_finished(rng.rand_float() < in_time);
        }
    }
    f64::from(turned) / f64::from(all)
}

#[test]
fn nobody_is_turned_away_while_most_are_in_time() {
    for share in [1.0, 0.95] {
        let turned = turned_away(&mut Throttle::default(), &mut 0.0, 200, share);
        assert!(turned < 0.005, "{share}: {turned}");
    }
    // At the share that is aimed at it is a matter of chance, and no more than that.
    let turned = turned_away(&mut Throttle::default(), &mut 0.0, 200, 1.0 - TARGET_LATE_SHARE);
    assert!(turned < 0.06, "{turned}");
}

#[test]
fn who_serves_nobody_in_time_sends_little_and_comes_back_soon() {
    let (mut throttle, mut now) = (Throttle::default(), 0.0);
    turned_away(&mut throttle, &mut now, 10, 0.0);
    let jam = turned_away(&mut throttle, &mut now, 10, 0.0);
    assert!((0.7..0.95).contains(&jam), "{jam}: a little still goes out");
    turned_away(&mut throttle, &mut now, 10, 1.0);
    assert!(turned_away(&mut throttle, &mut now, 5, 1.0) < 0.02, "and all of it once that is answered");
}

#[test]
fn a_quiet_sidecar_is_never_turned_away_by_chance() {
    let (mut throttle, mut now) = (Throttle::default(), 0.0);
    for _ in 0..500 {
        now += 1_000.0;
        assert_eq!(throttle.refusal_probability(now, 600.0), 0.0, "one a second, and none in time");
        throttle.record_finished(false);
    }
}
