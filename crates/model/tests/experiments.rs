//! Experiments as files: faults, the same results on any number of threads and after a stop, and reports.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};

use sagemast_model::experiment::Experiment;
use sagemast_model::report;
use sagemast_model::stats::{Interval, Verdict};

static FILES: AtomicUsize = AtomicUsize::new(0);

fn file() -> PathBuf {
    let number = FILES.fetch_add(1, Ordering::SeqCst);
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("lab-{}-{number}.jsonl", std::process::id()))
}

const TEXT: &str = r#"question = "which?"
policies = ["sagemast", "random"]
seeds = 3

[[axis]]
key = "clients.rate"
values = [40, 80]

[day]
length_s = 4

[day.clients]
sidecars = 2
rate = 40

[[day.class]]
name = "a"
work_ms = 20
aim_ms = 200
deadline_ms = 600

[[day.servers]]
count = 3
cores = 1
"#;

fn experiment() -> Experiment {
    Experiment::read(TEXT, false).expect("it is sound")
}

fn run(experiment: &Experiment, results: &Path, threads: usize) -> String {
    let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build().unwrap();
    pool.install(|| experiment.run(results, || ())).unwrap();
    std::fs::read_to_string(results).unwrap()
}

#[test]
fn results_are_the_same_on_one_thread_and_four_and_after_a_stop() {
    let experiment = experiment();
    assert_eq!(experiment.cells().len(), 12);
    let (one, four, stopped) = (file(), file(), file());
    let whole = run(&experiment, &one, 1);
    assert_eq!(whole.lines().count(), 12);
    assert_eq!(run(&experiment, &four, 4), whole);
    // Stopped within its fifth line, in another order, beside the line of another experiment.
    let mut lines: Vec<&str> = whole.lines().collect();
    lines.reverse();
    let foreign = lines[7].replacen("\"sum\":\"", "\"sum\":\"f", 1);
    let torn = &lines[4][..lines[4].len() / 2];
    std::fs::write(&stopped, format!("{}\n{foreign}\n{torn}", lines[..4].join("\n"))).unwrap();
    let played = AtomicUsize::new(0);
    let found = experiment
        .run(&stopped, || {
            played.fetch_add(1, Ordering::SeqCst);
        })
        .unwrap();
    assert_eq!((found.len(), played.into_inner()), (12, 12));
    assert_eq!(std::fs::read_to_string(&stopped).unwrap(), whole);
    // Another day's results are not taken for this one's.
    let other = Experiment::read(&TEXT.replace("work_ms = 20", "work_ms = 21"), false).unwrap();
    assert_ne!(run(&other, &stopped, 2), whole);
    [one, four, stopped].iter().for_each(|path| std::fs::remove_file(path).unwrap());
}

#[test]
fn faults_are_told_with_their_lines_and_nothing_is_run() {
    let told = |from: &str, to: &str| -> Vec<String> {
        assert!(TEXT.contains(from), "{from}");
        let faults = Experiment::read(&TEXT.replace(from, to), false).expect_err(to);
        faults.iter().map(ToString::to_string).collect()
    };
    assert_eq!(told("\"random\"", "\"rando\"").len(), 1);
    assert!(told("\"random\"", "\"rando\"")[0].starts_with("2: policies: no policy is named \"rando\""));
    assert_eq!(told("seeds = 3", "seeds = 0"), ["3: seeds: it is 0; from 1 to 10000 is allowed"]);
    assert!(told("seeds = 3", "seeds = 3\ncolour = 1")[0].contains("unknown field `colour`"));
    assert!(told("work_ms = 20", "work_ms = -1")[0].starts_with("18: day.class[0].work_ms: it is -1;"));
    assert!(told("cores = 1", "cores = 0")[0].starts_with("24: day.servers[0].cores: it is 0;"));
    assert!(told("key = \"clients.rate\"", "key = \"clients.rte\"")[0].contains("unknown field `rte`"));
    assert!(
        told("key = \"clients.rate\"", "key = \"class[3].aim_ms\"")[0].contains("3 is no place in its list")
    );
    assert!(
        told("key = \"clients.rate\"", "key = \"length_s.x\"")[0]
            .starts_with("5: axis: length_s.x names nothing")
    );
    assert!(told("values = [40, 80]", "values = []")[0].contains("has no values"));
    assert!(told("values = [40, 80]", "values = [40, -80]")[0].contains("day.clients.rate: it is -80;"));
    let many = format!("values = [{}]", "1,".repeat(20_000));
    assert!(told("values = [40, 80]", &many)[0].contains("120000 cells; 100000 are allowed"));
    assert!(!told("length_s = 4", "length_s = \"long\"").is_empty());
}

#[test]
fn differences_are_told_only_where_they_are_seen() {
    let verdict = |samples: &[f64]| Interval::of(samples, 1).verdict();
    assert_eq!(verdict(&[1.0, 1.2, 0.9, 1.1]), Verdict::Better);
    assert_eq!(verdict(&[-1.0, -1.2, -0.9, -1.1]), Verdict::Worse);
    assert_eq!(verdict(&[1.0, -1.2, 0.9, -1.1]), Verdict::NotTold);
    assert_eq!(verdict(&[5.0, 5.0]), Verdict::NotTold, "two say nothing of their spread");
    // Of samples about 0 about one in twenty is told apart, not many more.
    let mut state = 1_u64;
    let mut draw = || {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) as f64 / f64::from(1 << 30) - 1.0
    };
    let false_alarms = (0..400).filter(|_| verdict(&[(); 20].map(|()| draw())) != Verdict::NotTold).count();
    assert!((8..48).contains(&false_alarms), "{false_alarms} of 400");
}

#[test]
fn a_report_holds_every_policy_its_pictures_and_how_to_replay_the_worst() {
    let (experiment, results) = (experiment(), file());
    let found = experiment.run(&results, || ()).unwrap();
    std::fs::remove_file(&results).unwrap();
    let html = report::html(&experiment, &found, "x.toml").unwrap();
    assert_eq!(html.matches("<svg").count(), 5, "two a point, and the sweep");
    assert!(html.contains("sagemast-lab replay x.toml --policy"));
    assert!(!html.contains("http://") || !html.contains("src="), "it needs nothing beside it");
    let table = report::table(&experiment, &found);
    assert_eq!(table.lines().count(), 5);
    assert!(table.contains("sagemast") && table.contains("random"), "{table}");
}

#[test]
fn every_experiment_that_is_shipped_is_sound() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../experiments");
    let files = std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    let files: Vec<PathBuf> =
        files.filter(|path| path.extension().is_some_and(|ending| ending == "toml")).collect();
    assert!(!files.is_empty());
    for path in files {
        let text = std::fs::read_to_string(&path).unwrap();
        Experiment::read(&text, false).unwrap_or_else(|faults| panic!("{}: {faults:?}", path.display()));
    }
}
