//! The file: what is sound is read whole, and every fault is told with its line.

use sagemast_flows::file::{File, From};

const SOUND: &str = r#"descriptors = 200
[[listener]]
name = "a"
listen = "127.0.0.1:7100"
flows = 100
servers = [{ name = "x", dial = "127.0.0.1:9000", weight = 2.0 }]
"#;

#[test]
fn the_file_that_is_shipped_is_sound() {
    let file = File::read(include_str!("../../../deploy/flows.toml")).expect("it is sound");
    assert_eq!(file.listeners[0].rules.tentative, 1024);
    assert!(matches!(file.listeners[0].servers, From::Discovery(_)));
}

#[test]
fn what_is_left_out_follows_from_what_is_there() {
    let file = File::read(SOUND).expect("it is sound");
    let rules = &file.listeners[0].rules;
    assert_eq!((rules.flows, rules.tentative), (100, 25));
    assert_eq!(file.listeners[0].descriptors(), 108);
}

#[test]
fn every_fault_is_told_with_line_and_key() {
    for (from, to, line, key) in [
        ("flows = 100", "flows = 0", 5, "listener.flows"),
        ("flows = 100", "flows = 10.5", 5, "listener.flows"),
        ("flows = 100", "flows = 100\ntentative = 100", 6, "listener.tentative"),
        ("flows = 100", "flows = 100\nidle_ms = nan", 6, "listener.idle_ms"),
        ("flows = 100", "flows = 100\nidle_ms = -1", 6, "listener.idle_ms"),
        ("flows = 100", "flows = 100\nsockets = \"shared\"", 6, "listener.sockets"),
        ("flows = 100", "flows = 100\nsockets = \"none\"", 6, "listener.sockets"),
        ("flows = 100", "flows = 100\nsilence = \"never\"", 6, "listener.silence"),
        ("flows = 100", "flows = 100\nhello = \"\"", 6, "listener.hello"),
        ("flows = 100", "flows = 100\nid = { offset = 0, length = 21 }", 6, "listener.id.length"),
        ("flows = 100", "flows = 100\nid = { offset = 65507, length = 4 }", 6, "listener.id.offset"),
        ("flows = 100", "flows = 100\ndiscovery = \"127.0.0.1:1\"", 2, "listener.servers"),
        ("flows = 100", "flows = 100\nwishes = 3", 6, ""),
        ("flows = 100", "flows = 300", 1, "descriptors"),
        ("descriptors = 200", "memory_mb = 2", 1, "memory_mb"),
        ("flows = 100", "flows = 100\nall_new_per_s = 0", 6, "listener.all_new_per_s"),
        ("name = \"a\"", "name = \"a b\"", 3, "listener.name"),
        ("weight = 2.0", "weight = 0.0", 6, "listener.servers.weight"),
        ("name = \"x\"", "name = \"\"", 6, "listener.servers.name"),
        ("listen = \"127.0.0.1:7100\"", "listen = \"here\"", 4, ""),
    ] {
        assert!(SOUND.contains(from), "{from}");
        let faults = File::read(&SOUND.replace(from, to)).expect_err(to);
        assert_eq!((faults[0].line, faults[0].key.as_str()), (line, key), "{to}: {faults:?}");
    }
    let twice = format!("{SOUND}{}", SOUND.replace("descriptors = 200\n", ""));
    let faults = File::read(&twice).expect_err("two of a name at one place");
    assert_eq!(faults.len(), 2, "name and place: {faults:?}");
    assert_eq!(File::read("").expect_err("no listener")[0].key, "listener");
}
