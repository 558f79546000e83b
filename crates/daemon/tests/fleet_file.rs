//! `fleet.toml`: what is read of it, and that every fault is told with its file, line and key.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};

use sagemast_daemon::config::Fleet;
use sagemast_daemon::fleet_file::load;

static FOLDERS: AtomicUsize = AtomicUsize::new(0);

/// An empty folder of this test's own.
fn folder() -> PathBuf {
    let number = FOLDERS.fetch_add(1, Ordering::SeqCst);
    let name = format!("fleet-{}-{number}", std::process::id());
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn read(text: &str) -> Result<Fleet, Vec<String>> {
    let file = folder().join("fleet.toml");
    std::fs::write(&file, text).unwrap();
    read_at(&file)
}

fn read_at(file: &Path) -> Result<Fleet, Vec<String>> {
    let folder = format!("{}/", file.parent().unwrap().display());
    load(file).map_err(|faults| faults.iter().map(|f| f.to_string().replace(&folder, "")).collect())
}

const SETTINGS: &str = r#"
[template]
discovery = "127.0.0.1:8500"
[template.settings]
peers_total = 3
membership_mode = "automatic"
classes = [{ name = "a", aim = 250.0, hard_limit = 900.0, importance = 2.0, effect = "repeatable" }]
telemetry = {}
allowed = { max_attempts = 3 }
invariants = { cold_share = 0.1, warm_up = 2e4, fall_multiple = 2.5, fall = 1500.0 }
"#;

fn with(rest: &str) -> String {
    format!("[daemon]\ncontrol = \"c.sock\"\n{SETTINGS}{rest}")
}

#[test]
fn the_example_that_is_shipped_is_sound() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/fleet.toml");
    let fleet = load(&file).expect("no faults");
    assert_eq!(fleet.instances.len(), 2);
    let [howard, pass] = ["reporters-howard", "reporters-pass"].map(|name| &fleet.instances[name]);
    assert_eq!((howard.sockets, pass.sockets), (64, 128), "an instance overrides the template");
    let zones = [howard, pass].map(|spec| spec.settings.settings().zone.0);
    assert_eq!(zones, [0, 1], "also one key of its settings, and the others stay");
    assert_eq!(howard.settings.classes(), pass.settings.classes());
    assert!(fleet.process.control.ends_with("deploy/run/control.sock"));
}

#[test]
fn a_small_file_is_enough() {
    let fleet = read(&with("[[instance]]\nname = \"one\"\nlisten = \"127.0.0.1:0\"\n")).unwrap();
    assert!(fleet.process.workers >= 1);
    assert_eq!(fleet.instances["one"].connections(), 30);
    assert_eq!(read(&with("")).unwrap().instances.len(), 0, "a fleet may be empty");
}

#[test]
fn every_fault_is_told_with_its_line() {
    let faults = read(
        r#"[daemon]
workers = 0
control = 7
stat = "state"
[budgets]
descriptors = "many"
[lifecyle]
[template]
sockets = 64
colour = "red"
[[instance]]
name = "a"
listen = "here"
discovery = "127.0.0.1:1"
[[instance]]
name = "b c"
listen = "127.0.0.1:1"
discovery = "127.0.0.1:1"
sockets = 1
"#,
    )
    .unwrap_err();
    let expected = [
        "fleet.toml:2: daemon.workers: it is 0; from 1 to 256 is allowed",
        "fleet.toml:3: daemon.control: invalid type: integer `7`, expected a string",
        "fleet.toml:4: daemon.stat: no such key; there are control, flows, instances, state, workers",
        "fleet.toml:6: budgets.descriptors: invalid type: string \"many\", expected i64",
        "fleet.toml:7: lifecyle: no such table; there are daemon, budgets, lifecycle, template and [[instance]]",
        "fleet.toml:10: template.colour: no such key;",
        "fleet.toml:11: instance[0].settings: it is missing",
        "fleet.toml:13: instance[0].listen: \"here\" is not an address such as 127.0.0.1:7070",
        "fleet.toml:15: instance[1].settings: it is missing",
        "fleet.toml:16: instance[1].name: \"b c\" is not a name",
        "fleet.toml:19: instance[1].sockets: it is 1; from 8 to 1048576 is allowed",
    ];
    for text in expected {
        assert!(faults.iter().any(|fault| fault.starts_with(text)), "not told: {text}\n{faults:#?}");
    }
    assert_eq!(faults.len(), expected.len(), "{faults:#?}");
}

#[test]
fn faults_of_syntax_have_their_line_too() {
    let faults = read("[daemon]\ncontrol = \"c\"\nworkers = = 2\nstate = [\n").unwrap_err();
    assert!(faults.iter().any(|fault| fault.starts_with("fleet.toml:3: ")), "{faults:?}");
    assert!(faults.len() >= 2, "not only the first: {faults:?}");
}

#[test]
fn faults_within_settings_are_told_where_they_stand() {
    let text = with(
        "[[instance]]\nname = \"a\"\nlisten = \"127.0.0.1:1\"\n[instance.settings]\nzone = 1\nzones = 2\n\
         allowed = { max_attempts = 0, probe = true }\n[[instance]]\nname = \"b\"\nlisten = \"127.0.0.1:2\"\n\
         settings.classes = [{ name = \"x\", aim = -1.0, hard_limit = 9.0, importance = 1.0, effect = \"once\" }]\n",
    );
    let line = |needle: &str| 1 + text.lines().position(|line| line.contains(needle)).unwrap();
    let faults = read(&text).unwrap_err();
    let expected = [
        format!("fleet.toml:{}: instance[0].settings.zones: no such key", line("zones")),
        format!("fleet.toml:{}: instance[0].settings.allowed.probe: no such key", line("probe = ")),
        format!("fleet.toml:{}: instance[0].settings.allowed.max_attempts: it is 0", line("probe = ")),
        format!("fleet.toml:{}: instance[1].settings.classes[0].aim: it is -1", line("aim = -1")),
    ];
    for text in &expected {
        assert!(faults.iter().any(|fault| fault.starts_with(text)), "not told: {text}\n{faults:#?}");
    }
    assert_eq!(faults.len(), expected.len(), "{faults:#?}");
}

#[test]
fn what_only_the_whole_shows_is_told() {
    let two = |a: &str, b: &str| {
        with(&format!(
            "[[instance]]\nname = \"{a}\"\nlisten = \"127.0.0.1:1\"\n[[instance]]\nname = \"{b}\"\nlisten = \"127.0.0.1:1\"\n\
             [budgets]\ndescriptors = 100\nmemory_mb = 10\n"
        ))
    };
    let faults = read(&two("a", "b")).unwrap_err();
    for text in [
        "budgets.descriptors: it is 100, and all instances and UDP flows together need 128",
        "budgets.memory_mb: it is 10, and all instances and UDP flows together need 16",
        "instance[1].listen: \"a\" listens on 127.0.0.1:1, too",
    ] {
        assert!(faults.iter().any(|fault| fault.ends_with(text)), "not told: {text}\n{faults:#?}");
    }
    let faults = read(&two("a", "a")).unwrap_err();
    assert!(faults.iter().any(|fault| fault.contains("two instances are named \"a\"")), "{faults:#?}");
}

#[test]
fn a_directory_holds_one_file_an_instance() {
    let folder = folder();
    let fleet = folder.join("fleet.toml");
    std::fs::write(&fleet, with("").replace("[daemon]", "[daemon]\ninstances = \"fleet.d\"")).unwrap();
    let faults = read_at(&fleet).unwrap_err();
    assert!(faults[0].starts_with("fleet.toml:2: daemon.instances: "), "{faults:?}");
    std::fs::create_dir(folder.join("fleet.d")).unwrap();
    std::fs::write(folder.join("fleet.d/one.toml"), "listen = \"127.0.0.1:1\"\n").unwrap();
    std::fs::write(folder.join("fleet.d/two.toml"), "name = \"second\"\nlisten = \"127.0.0.1:2\"\n").unwrap();
    std::fs::write(folder.join("fleet.d/README"), "not an instance").unwrap();
    let read = read_at(&fleet).unwrap();
    assert_eq!(read.instances.keys().map(|name| &**name).collect::<Vec<_>>(), ["one", "second"]);
    std::fs::write(folder.join("fleet.d/two.toml"), "\nlisten = 5\n").unwrap();
    let faults = read_at(&fleet).unwrap_err();
    assert_eq!(faults.len(), 1, "{faults:?}");
    assert!(faults[0].starts_with("fleet.d/two.toml:2: listen: "), "{faults:?}");
}

#[test]
fn settings_may_stand_in_a_file_of_the_platforms_form() {
    let folder = folder();
    let fleet = folder.join("fleet.toml");
    let one = "[[instance]]\nname = \"a\"\nlisten = \"127.0.0.1:1\"\nsettings_file = \"s.json\"\n";
    std::fs::write(&fleet, with(one)).unwrap();
    let faults = read_at(&fleet).unwrap_err();
    assert!(faults[0].starts_with("s.json: cannot be read"), "{faults:?}");
    let json = r#"{"classes":[{"name":"z","aim":250.0,"hard_limit":900.0,"importance":2.0,"effect":"once"}],"rank":0,
        "allowed":{"max_attempts":3},"peers_total":9,"membership_mode":"automatic","telemetry":{},"later":[1],
        "invariants":{"cold_share":0.1,"warm_up":2e4,"fall_multiple":2.5,"fall":1500.0}}"#;
    std::fs::write(folder.join("s.json"), json).unwrap();
    let read = read_at(&fleet).unwrap();
    assert_eq!(
        read.instances["a"].settings.classes()[0].name,
        "z",
        "the instance's own goes before the template's"
    );
    std::fs::write(folder.join("s.json"), json.replace("250.0", "0.0")).unwrap();
    assert!(read_at(&fleet).unwrap_err()[0].starts_with("s.json: classes[0].aim: it is 0"));
}

#[test]
fn what_is_no_file_is_told_in_one_line() {
    assert_eq!(read_at(&folder().join("none.toml")).unwrap_err().len(), 1);
    let faults = read("\u{0}\u{1}").unwrap_err();
    assert!(!faults.is_empty());
}
