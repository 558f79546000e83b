//! Servers that tell nothing of their load, behind a sidecar that has few requests out on each: all of them look idle.

mod common;

use common::*;
use sagemast_decide::api::*;

/// Requests at 50 a second, each of which ends so late and with this outcome; how many are sent, and how many refused.
fn play(stage: &mut Harness, requests: usize, latency: Millis, outcome: Outcome) -> (usize, usize) {
    let mut out: Vec<(Millis, RequestId, UpstreamId)> = Vec::new();
    let (mut sent, mut refused) = (0, 0);
    for _ in 0..requests {
        stage.now += 20.0;
        while let Some((at, request, to)) = out.first().copied().filter(|(at, ..)| *at <= stage.now) {
            out.remove(0);
            let now = std::mem::replace(&mut stage.now, at);
            stage.finish(request, 0, to, outcome, latency);
            stage.now = now;
        }
        let (request, actions) = stage.arrive(NON_IDEMPOTENT);
        match sent_to(&actions) {
            Some(to) => {
                sent += 1;
                out.push((stage.now + latency, request, to));
            }
            None => {
                assert!(matches!(actions[..], [Action::Refuse { .. }]), "nothing has run: {actions:?}");
                refused += 1;
            }
        }
    }
    for (at, request, to) in out {
        stage.now = stage.now.max(at);
        stage.finish(request, 0, to, outcome, latency);
    }
    (sent, refused)
}

fn mute() -> Harness {
    let mut settings = settings();
    settings.limits.probes = false;
    Harness::new(settings, (0..40).map(listing).collect())
}

/// Guards against a fleet that drowns servers which tell nothing: everything was accepted, and nothing was in time.
#[test]
fn while_nothing_is_in_time_little_is_sent_and_all_again_once_it_is() {
    let mut stage = mute();
    assert_eq!(play(&mut stage, 200, 30.0, Outcome::Ok), (200, 0), "in time");
    play(&mut stage, 100, 450.0, Outcome::Ok);
    let (sent, refused) = play(&mut stage, 200, 450.0, Outcome::Ok);
    assert!(refused > sent && sent > 5, "sent {sent}, refused {refused}: a little still goes out");
    play(&mut stage, 100, 30.0, Outcome::Ok);
    let (sent, refused) = play(&mut stage, 200, 30.0, Outcome::Ok);
    assert!(refused <= 2, "sent {sent}, refused {refused} once answers are in time");
}

/// A server that fails says nothing of how crowded the others are.
#[test]
fn failures_turn_nobody_away() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::Full] {
        let (sent, refused) = play(&mut mute(), 300, 30.0, outcome);
        assert_eq!((sent, refused), (300, 0), "{outcome:?}");
    }
}

/// Where servers tell of their load, room is judged by what they tell.
#[test]
fn who_hears_of_loads_goes_by_them() {
    let mut stage = mute();
    let ids: Vec<u64> = (0..40).collect();
    stage.report_steadily(&ids, 0.0, 0.1);
    // What the module itself makes of so many late answers is another matter; chance adds nothing to it.
    play(&mut stage, 100, 450.0, Outcome::Ok);
    stage.report_steadily(&ids, 0.0, 0.1);
    let (sent, refused) = play(&mut stage, 50, 30.0, Outcome::Ok);
    assert_eq!((sent, refused), (50, 0), "idle servers that say so are sent to at once");
}
