//! Tests of the simulator adapter as a process that reads and writes lines of JSON.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const CONFIG: &str = r#"{"allowed":{"cancel":true,"max_attempts":3,"may_duplicate":false,"probes":true,
"retry_after":true,"max_retry_after":400.0,"something_new":1},"azs":["a","b"],
"classes":[{"aim":250.0,"dedup_scope":"all","effect":"repeatable","hard_limit":500.0,"importance":2.0,
"late_worth":0.0,"name":"x","stream":false,"window":5000.0},
{"aim":250.0,"dedup_scope":"cell","effect":"by_key","hard_limit":500.0,"importance":2.0,"window":400.0},
{"aim":250.0,"effect":"once","hard_limit":500.0,"importance":2.0}],
"fees":{"cross_zone":0.01},"invariants":{"answer_slack":16.0,"cold_share":0.14,"drain_grace":250.0,
"fall":2000.0,"fall_multiple":2.5,"must_ask_in":10000.0,"warm_up":23000.0},
"membership_mode":"automatic","peers_total":3,"period":4.0,"rank":0,"zone":1,
"telemetry":{"columns":["inflight","later_figure","util"],"how":"pull"},"new_table":{"a":[1,2]}}"#;

/// Runs the adapter on this input to its end.
fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sagemast-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may end before it has read everything.
    let _ = child.stdin.take().expect("piped").write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter ends")
}

/// The first input line, which defines a sidecar with one server in this membership mode.
fn first_line(mode: &str) -> String {
    let config = CONFIG.replace('\n', "").replace("automatic", mode);
    let hello = format!(r#"{{"kind":"hello","salt":9,"config":{config}}}"#);
    let list = r#"{"kind":"define_list","list":3,"rows_in":[{"upstream":77,"hall":1,"shape":0,"stripe":4,
"lifecycle":"in_service","capacity_hint":1.5,"launched":0,"extra":true}]}"#
        .replace('\n', "");
    let sync = r#"{"kind":"sync","mode":"restored","version":4,"list":3}"#;
    format!(
        r#"{{"wall":100.5,"turn":1,"parts":[{{"sidecar":"sidecar-0","inbox":[{hello},{list},{sync}]}}]}}"#
    )
}

/// Runs the adapter on the first line and these lines.
fn run_after_first_line(lines: &str) -> Output {
    run(&format!("{}\n{lines}\n", first_line("automatic")))
}

const ARRIVAL: &str = r#"{"wall":104.5,"turn":2,"parts":[{"sidecar":"sidecar-0","inbox":[{"kind":"arrival",
"xid":"0ce511c65d3a91c4","time_left":240.0,"category":0,"unheard_of":[1]}]}]}"#;

#[test]
fn arrival_is_relayed_after_an_unanswered_probe() {
    // The server has not reported yet: the module probes it first, and sends the request when there is no answer.
    let token = 0x0ce5_11c6_5d3a_91c4_u64 >> 1;
    let ring = format!(
        r#"{{"wall":300,"turn":3,"parts":[{{"sidecar":"sidecar-0","inbox":[{{"kind":"ring","ref":{token}}}]}}]}}"#
    );
    let output = run_after_first_line(&format!("{}\n{}", ARRIVAL.replace('\n', ""), ring));
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).unwrap();
    let lines: Vec<serde_json::Value> =
        text.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert_eq!(lines.len(), 3);
    assert_eq!(lines[0], serde_json::json!({"turn": 1, "parts": []}));
    assert_eq!(lines[1]["turn"], 2);
    assert_eq!(lines[1]["parts"][0]["sidecar"], "sidecar-0");
    let probe_actions = lines[1]["parts"][0]["actions"].as_array().unwrap();
    assert!(
        probe_actions.iter().any(|action| *action == serde_json::json!({"kind": "ask_load", "upstream": 77}))
    );
    assert!(probe_actions.iter().any(|action| action["kind"] == "set_alarm"));
    let actions = lines[2]["parts"][0]["actions"].as_array().unwrap();
    let relay = actions.iter().find(|action| action["kind"] == "relay").unwrap();
    assert_eq!(relay["xid"], "0ce511c65d3a91c4");
    assert_eq!(relay["upstream"], 77);
    assert!(relay["patience"].as_f64().unwrap() > 0.0);
}

#[test]
fn subscription_is_requested_by_a_timer() {
    let ring =
        r#"{"wall":900.0,"turn":2,"parts":[{"sidecar":"sidecar-0","inbox":[{"kind":"ring","ref":0}]}]}"#;
    let output = run(&format!("{}\n{ring}\n", first_line("subscribe")));
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.lines().next().unwrap().contains(r#""kind":"set_alarm""#), "{text}");
    assert!(text.lines().nth(1).unwrap().contains(r#"{"kind":"follow","want":true}"#), "{text}");
}

#[test]
fn every_kind_of_event_and_disposition_is_accepted() {
    let mut events = vec![
        r#"{"kind":"heard","src_peer":2,"bytes":"68"}"#.to_owned(),
        r#"{"kind":"under_way","xid":"0000000000000001","shot":0,"upstream":77,"latency":9.25}"#.to_owned(),
        r#"{"kind":"lapsed","xid":"0000000000000001"}"#.to_owned(),
        r#"{"kind":"pong","upstream":77,"disposition":"pass","latency":1.4,"server_stats":[7,1,0.6]}"#
            .to_owned(),
        r#"{"kind":"pong","upstream":77,"disposition":"too_slow","latency":1.4}"#.to_owned(),
        r#"{"kind":"sync","mode":"unavailable","version":4}"#.to_owned(),
        r#"{"kind":"sync","mode":"update","version":5,"list":3}"#.to_owned(),
        r#"{"kind":"sync","mode":"replace","version":6,"list":3}"#.to_owned(),
    ];
    for how in ["pass", "fault", "no_room", "too_slow", "no_route", "cut", "undone", "stale_send"] {
        events.push(format!(
            r#"{{"kind":"returned","xid":"0000000000000001","upstream":77,"shot":0,"latency":2,"disposition":"{how}"}}"#
        ));
    }
    events.push(r#"{"kind":"killed"}"#.to_owned());
    let line = format!(
        r#"{{"wall":105,"turn":2,"parts":[{{"sidecar":"sidecar-0","inbox":[{}]}}]}}"#,
        events.join(",")
    );
    let output = run_after_first_line(&line);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
}

#[test]
fn invalid_input_ends_the_adapter_with_one_error_line() {
    let inbox = |event: &str| {
        format!(r#"{{"wall":105,"turn":2,"parts":[{{"sidecar":"sidecar-0","inbox":[{event}]}}]}}"#)
    };
    let unknown_sidecar = ARRIVAL.replace('\n', "").replace("sidecar-0", "sidecar-8");
    for line in [
        "not json".to_owned(),
        r#"{"wall":1,"parts":[]}"#.to_owned(),
        inbox(r#"{"kind":"no_such_event"}"#),
        inbox(r#"{"kind":"arrival","xid":"0ce511c65d3a91c4","category":0}"#),
        inbox(r#"{"kind":"arrival","xid":"xyz","category":0,"time_left":3}"#),
        inbox(r#"{"kind":"lapsed","xid":"+ce511c65d3a91c4"}"#),
        inbox(r#"{"kind":"lapsed","xid":"0ce511c65d3a91c4f"}"#),
        inbox(r#"{"kind":"sync","mode":"update","version":5,"list":12}"#),
        inbox(
            r#"{"kind":"returned","xid":"0000000000000001","upstream":7,"shot":0,"latency":2,"disposition":"odd"}"#,
        ),
        unknown_sidecar,
    ] {
        let output = run_after_first_line(&line);
        assert!(!output.status.success(), "{line}");
        let error = String::from_utf8(output.stderr).unwrap();
        assert_eq!(error.lines().count(), 1, "{error}");
        assert!(error.contains("line 2"), "{error}");
        assert_eq!(
            String::from_utf8(output.stdout).unwrap().lines().count(),
            1,
            "standard output holds replies only"
        );
    }
}

#[test]
fn end_of_input_ends_the_adapter_with_success() {
    let output = run("");
    assert!(output.status.success() && output.stdout.is_empty() && output.stderr.is_empty());
}
