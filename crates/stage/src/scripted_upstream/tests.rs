use super::*;
use crate::answer_parser::AnswerParser;
use crate::answer_plan::body_of;
use crate::clients::{Class, request};

const SOON: Duration = Duration::from_millis(300);
const LONG: Duration = Duration::from_secs(5);

fn in_runtime(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async { timeout(Duration::from_secs(20), test).await.unwrap() });
}

async fn asked(stream: &mut TcpStream, id: &str) -> Vec<u8> {
    stream.write_all(&request(Class::Save, id, 1_000)).await.unwrap();
    let mut parser = AnswerParser::default();
    let mut buffer = [0; 4 << 10];
    loop {
        let read = stream.read(&mut buffer).await.unwrap();
        assert!(read > 0, "it was closed");
        if let Some(answer) = parser.feed(&buffer[..read]) {
            return answer.body;
        }
    }
}

#[test]
fn it_answers_by_the_plan_and_closes_on_what_nobody_waits_for() {
    in_runtime(async {
        let registry = Arc::new(Registry::default());
        let upstream = ScriptedUpstream::start(registry.clone(), Arc::default()).await.unwrap();
        let mut stream = TcpStream::connect(upstream.address).await.unwrap();
        for id in ["00000000000000a1", "00000000000000a2"] {
            registry.expect(id, AnswerPlan::plain(900));
            assert_eq!(registry.attempts(id), Attempts::default());
            assert_eq!(asked(&mut stream, id).await, body_of(id, 900));
            let one = Attempts { count: 1, worst: WorstAnswer::Whole };
            assert_eq!(registry.attempts(id), one);
            registry.forget(id);
        }
        stream.write_all(&request(Class::Fetch, "00000000000000a2", 1_000)).await.unwrap();
        assert_eq!(timeout(LONG, stream.read(&mut [0; 1])).await.unwrap().unwrap(), 0);
    });
}

/// Guards against a lost zone that refuses, resets or answers: open connections are silent, new ones never come up.
#[test]
fn a_lost_zone_is_silent_and_resets_what_was_open_when_it_is_back() {
    in_runtime(async {
        let (registry, zone) = (Arc::new(Registry::default()), Arc::new(Zone::default()));
        let upstream = ScriptedUpstream::start(registry.clone(), zone.clone()).await.unwrap();
        let id = "00000000000000b1";
        registry.expect(id, AnswerPlan::plain(900));
        let mut open = TcpStream::connect(upstream.address).await.unwrap();
        assert_eq!(asked(&mut open, id).await, body_of(id, 900));
        zone.set_lost(true);
        sleep(SOON).await;
        open.write_all(&request(Class::Fetch, id, 1_000)).await.unwrap();
        assert!(timeout(SOON, open.read(&mut [0; 1])).await.is_err(), "an open connection says nothing");
        let connects = (0..5).map(|_| tokio::spawn(TcpStream::connect(upstream.address))).collect::<Vec<_>>();
        sleep(SOON).await;
        assert!(connects.iter().all(|connect| !connect.is_finished()), "no connection comes up");
        assert_eq!(registry.attempts(id).count, 1);
        zone.set_lost(false);
        let ended = timeout(LONG, open.read(&mut [0; 1])).await.unwrap();
        assert!(ended.is_err(), "what was open is reset: {ended:?}");
        // Those that had waited to come up have done so by now, or are reset.
        sleep(SOON).await;
        let mut new = timeout(LONG, TcpStream::connect(upstream.address)).await.unwrap().unwrap();
        assert_eq!(asked(&mut new, id).await, body_of(id, 900));
    });
}

/// What was done to attempts follows from the plan, and from the loss of a zone.
#[test]
fn the_registry_tells_the_worst_of_all_attempts() {
    use crate::answer_plan::Part;
    let id = "00000000000000c1";
    let plan = |fault| AnswerPlan { fault, faulty_attempts: 1, ..AnswerPlan::plain(900) };
    for (fault, worst) in [
        (None, WorstAnswer::Whole),
        (Some(Fault::Reset(Part::InBody)), WorstAnswer::BrokeOff),
        (Some(Fault::Close(Part::InHead)), WorstAnswer::BrokeOff),
        (Some(Fault::Stall(Part::AfterHead)), WorstAnswer::Stopped),
        (Some(Fault::Endless), WorstAnswer::Stopped),
        (Some(Fault::Dribble), WorstAnswer::Stopped),
    ] {
        let registry = Registry::default();
        registry.expect(id, plan(fault));
        assert_eq!(registry.attempts(id), Attempts::default());
        for count in 1..=2 {
            registry.attempt(id);
            assert_eq!(registry.attempts(id), Attempts { count, worst });
        }
        registry.lose(id);
        registry.attempt(id);
        assert_eq!(registry.attempts(id), Attempts { count: 3, worst: WorstAnswer::Stopped });
    }
}

#[test]
fn an_attempt_whose_zone_is_lost_under_it_is_known() {
    in_runtime(async {
        let (registry, zone) = (Arc::new(Registry::default()), Arc::new(Zone::default()));
        let upstream = ScriptedUpstream::start(registry.clone(), zone.clone()).await.unwrap();
        let id = "00000000000000d1";
        registry.expect(id, AnswerPlan { work: LONG, ..AnswerPlan::plain(900) });
        let mut stream = TcpStream::connect(upstream.address).await.unwrap();
        stream.write_all(&request(Class::Fetch, id, 1_000)).await.unwrap();
        while registry.attempts(id).count == 0 {
            sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(registry.attempts(id).worst, WorstAnswer::Whole);
        zone.set_lost(true);
        sleep(SOON).await;
        assert_eq!(registry.attempts(id).worst, WorstAnswer::Stopped);
    });
}
