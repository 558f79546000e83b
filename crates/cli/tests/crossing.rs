//! Budgets for traffic between two buildings, with the program as a process on loopback sockets.

mod loopback;

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use loopback::{ScriptedResponse, Upstream as Scripted};
use sagemast_daemon::frames::{Answer, Ask, CrossingReport, Outcome};
use sagemast_pools::counts::Totals;
use sagemast_sidecar::hosts::Health;
use sagemast_stage::buildings::{BUILDINGS, Buildings};
use sagemast_stage::clients::{Application, Class, Tally};
use sagemast_stage::program::{Daemon, until};
use sagemast_stage::upstream::Nature;

const PROGRAM: &str = env!("CARGO_BIN_EXE_sagemast");
/// Nothing crosses but for bends, of which there are none.
const CLOSED: &str = "[crossing]\nbends = []\n[[crossing.budget]]\nshare = 0.0\n";
/// Nothing crosses but for bends.
const BENDS: &str = "[crossing]\n[[crossing.budget]]\nshare = 0.0\n";
/// Half may cross.
const HALF: &str = "[crossing]\n[[crossing.budget]]\nshare = 0.5\n";

static FOLDERS: AtomicUsize = AtomicUsize::new(0);

/// A folder of this test's own. Short: the control socket lies in it.
fn folder() -> PathBuf {
    let number = FOLDERS.fetch_add(1, Ordering::SeqCst);
    std::env::temp_dir().join(format!("sgx-{}-{number}", std::process::id()))
}

/// Buildings, a daemon and its clients.
struct Stage {
    buildings: Buildings,
    tally: Arc<Tally>,
}

impl Stage {
    async fn new(count: [usize; 2], limits: &str) -> Stage {
        let nature = Nature { cores: 8, work_ms: 5.0, ..Nature::default() };
        let buildings = Buildings::start(&folder(), count, nature).await.unwrap();
        buildings.limit(limits).unwrap();
        Stage { buildings, tally: Arc::default() }
    }

    fn daemon(&self) -> Daemon {
        blocking(|| {
            let daemon = Daemon::start(Path::new(PROGRAM), &self.buildings.file).unwrap();
            daemon.settle().unwrap();
            daemon
        })
    }

    /// The clients in howard-ave.
    fn clients(&self, daemon: &Daemon) -> Arc<Application> {
        let (building, mark) = BUILDINGS[0];
        let address = blocking(|| daemon.address(building).unwrap());
        Application::marked(address, self.tally.clone(), Duration::from_secs(20), mark)
    }

    /// Asks one after another; how often each status came.
    async fn ask(&self, clients: &Application, class: Class, count: usize) -> Statuses {
        let mut statuses = Statuses::default();
        for _ in 0..count {
            match clients.ask(class, 0).await {
                Some(200) => statuses.served += 1,
                Some(429 | 503) => statuses.refused += 1,
                Some(_) => statuses.failed += 1,
                None => statuses.none += 1,
            }
        }
        statuses
    }

    /// Nothing was lost, and nothing that must not has run twice.
    fn check(&self) {
        let book = self.tally.book();
        assert_eq!((book.lost, book.wrong, book.kept_out), (0, 0, 0), "{:?}", book.losses);
        let effects = &self.buildings.effects;
        assert_eq!(effects.doubled(book.once.iter().map(String::as_str)), 0);
        assert_eq!(effects.doubled_keys(), 0);
        assert!(book.done.iter().all(|id| effects.of(id) > 0));
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.buildings.file.folder);
    }
}

#[derive(Debug, Default, PartialEq, Eq)]
struct Statuses {
    served: usize,
    refused: usize,
    failed: usize,
    none: usize,
}

/// Everything that blocks is done on another thread than the stand-ins'.
fn blocking<T>(does: impl FnOnce() -> T) -> T {
    tokio::task::block_in_place(does)
}

fn reports(daemon: &Daemon) -> Vec<CrossingReport> {
    match blocking(|| daemon.ask(Ask::Crossing { name: None }).unwrap()) {
        Answer::Crossing(reports) => reports,
        other => panic!("{other:?}"),
    }
}

fn totals(daemon: &Daemon) -> Totals {
    let mut totals = Totals::default();
    reports(daemon).iter().for_each(|report| totals.add(&report.totals));
    totals
}

/// What crossed of a class: first attempts, further ones.
fn crossed(totals: &Totals, class: Class) -> (u64, u64) {
    let rows = totals.rows.iter().filter(|row| row.class == class.name() && row.is_cross_zone());
    rows.fold((0, 0), |sum, row| (sum.0 + row.first, sum.1 + row.retries))
}

fn ctl(daemon: &Daemon, arguments: &[&str]) -> Output {
    let mut command = Command::new(PROGRAM);
    blocking(|| command.arg("ctl").arg("--socket").arg(daemon.control()).args(arguments).output().unwrap())
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_may_have_run_is_never_sent_across_to_save_or_spend_a_budget() {
    for limits in [CLOSED, BENDS, HALF] {
        let stage = Stage::new([3, 3], limits).await;
        let daemon = stage.daemon();
        let clients = stage.clients(&daemon);
        stage.ask(&clients, Class::Fetch, 20).await;
        // They run what comes and close: nobody can tell from outside that it ran.
        stage.buildings.of(0).for_each(|upstream| upstream.reset_after_work(true));
        let bills = stage.ask(&clients, Class::Bill, 30).await;
        let errata = stage.ask(&clients, Class::Errata, 20).await;
        let fetches = stage.ask(&clients, Class::Fetch, 20).await;
        let totals = totals(&daemon);
        assert_eq!(crossed(&totals, Class::Bill).1, 0, "{limits}: no bill is sent again, across or not");
        assert_eq!(
            crossed(&totals, Class::Errata).1,
            0,
            "{limits}: its cell remembers its key, the other does not"
        );
        assert!(bills.failed > 0 && bills.failed + bills.served + bills.refused == 30, "{limits}: {bills:?}");
        assert_eq!(errata.none + fetches.none, 0);
        if limits != CLOSED {
            assert!(fetches.served > 15, "{limits}: what is safe to repeat is served across: {fetches:?}");
        }
        // A bill that failed has run at most once, and one that was refused has not.
        stage.check();
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_closed_border_refuses_and_opens_in_place_when_the_file_says_so() {
    let stage = Stage::new([2, 2], CLOSED).await;
    let daemon = stage.daemon();
    let clients = stage.clients(&daemon);
    assert_eq!(stage.ask(&clients, Class::Fetch, 20).await.served, 20);
    stage.buildings.tell(0, Health::Draining);
    let closed = || async { stage.ask(&clients, Class::Bill, 1).await.refused == 1 };
    // The news is on its way.
    while !closed().await {}
    let refused = stage.ask(&clients, Class::Fetch, 20).await;
    assert_eq!(refused, Statuses { refused: 20, ..Statuses::default() }, "at once, and harmless to repeat");
    assert_eq!(totals(&daemon).attempts_and_crossings(None).1, 0);
    let generation = blocking(|| daemon.instances().unwrap()["howard-ave"].generation);
    let attempts = totals(&daemon).attempts_and_crossings(None).0;

    stage.buildings.limit(BENDS).unwrap();
    let applied = ctl(&daemon, &["apply"]);
    assert!(text(&applied).contains("in place      howard-ave pass-road"), "{}", text(&applied));
    blocking(|| daemon.settle().unwrap());
    assert_eq!(stage.ask(&clients, Class::Fetch, 20).await.served, 20, "no server near takes part: it bends");
    assert_eq!(blocking(|| daemon.instances().unwrap()["howard-ave"].generation), generation);
    let after = totals(&daemon);
    assert_eq!(after.attempts_and_crossings(None), (attempts + 20, 20), "what was counted goes on");
    assert_eq!(after.rows.iter().map(|row| row.exempted.down).sum::<u64>(), 20);
    let shown = text(&ctl(&daemon, &["crossing", "howard-ave"]));
    assert!(shown.contains("page-fetch  howard-ave  pass-road   20"), "{shown}");
    assert!(
        shown.contains("20 down") && shown.contains("budget       howard-ave: 0 % of attempts"),
        "{shown}"
    );
    assert_eq!(ctl(&daemon, &["crossing", "nobody"]).status.code(), Some(4));

    // What is faulty changes nothing.
    stage.buildings.limit("[crossing]\nbends = [\"up\"]\n").unwrap();
    let faulty = ctl(&daemon, &["apply"]);
    assert_eq!(faulty.status.code(), Some(6));
    assert!(text(&faulty).contains("pools.toml:2: crossing.bends: \"up\" is no reason"), "{}", text(&faulty));
    assert_eq!(stage.ask(&clients, Class::Fetch, 5).await.served, 5);
    stage.check();
    assert_eq!(stage.buildings.came(), (attempts + 25, 25), "the upstreams tell the same");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn counts_outlast_a_restart_a_handover_and_a_kill_and_budgets_do_not_grow_by_them() {
    let mut stage = Stage::new([2, 2], HALF).await;
    stage.buildings.file.state = true;
    let mut daemon = stage.daemon();
    let clients = stage.clients(&daemon);
    assert_eq!(stage.ask(&clients, Class::Save, 40).await.served, 40);
    let attempts = |daemon: &Daemon| totals(daemon).attempts_and_crossings(None).0;
    let level = |daemon: &Daemon| reports(daemon).iter().map(|report| report.budgets[0].level).sum::<f64>();
    assert_eq!(attempts(&daemon), 40);
    assert!(level(&daemon) > 5.0, "{}", level(&daemon));
    blocking(|| {
        daemon.ask(Ask::Restart { name: "howard-ave".to_owned() }).unwrap();
        daemon.settle().unwrap();
    });
    assert_eq!(attempts(&daemon), 40, "the next generation goes on from there");
    assert_eq!(level(&daemon), 0.0, "a restart makes no budget");
    // Kept at the latest after some seconds; then it is on disk when it is killed.
    let kept = stage.buildings.file.folder.join("state/crossing.howard-ave");
    let is_kept = || std::fs::read_to_string(&kept).is_ok_and(|text| text.contains("\"first\":40"));
    blocking(|| until("the counts are kept", is_kept)).unwrap();
    blocking(|| {
        daemon.kill();
        daemon.start_again().unwrap();
        daemon.settle().unwrap();
    });
    assert_eq!(attempts(&daemon), 40, "after a kill");
    blocking(|| daemon.upgrade(Path::new(PROGRAM)).unwrap());
    assert_eq!(attempts(&daemon), 40, "after a handover");
    assert_eq!(stage.ask(&stage.clients(&daemon), Class::Save, 3).await.served, 3);
    assert_eq!(attempts(&daemon), 43);
    stage.check();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_faulty_file_of_limits_ends_a_start_with_a_plain_line() {
    let stage = Stage::new([1, 1], "[crossing]\n[[crossing.budget]]\nshare = 0.1\nto = [\"moon\"]\n").await;
    stage.buildings.file.write().unwrap();
    let run = |arguments: &[&str]| blocking(|| Command::new(PROGRAM).args(arguments).output().unwrap());
    let file = stage.buildings.file.path().display().to_string();
    let line = "pools.toml:4: crossing.budget[0].to: the settings know no zone \"moon\"; there are howard-ave, pass-road";
    for arguments in [&["check", &file][..], &["daemon", "--config", &file]] {
        let ended = run(arguments);
        assert_eq!(
            (ended.status.code(), text(&ended).matches(line).count()),
            (Some(1), 1),
            "{}",
            text(&ended)
        );
    }
    let alone = stage.buildings.file.folder.join("pools.toml").display().to_string();
    assert_eq!(run(&["check", &alone]).status.code(), Some(0), "by itself it is sound");
    std::fs::write(&alone, "[crossing]\nfee = 2\n").unwrap();
    let ended = run(&["check", &alone]);
    assert_eq!(ended.status.code(), Some(1));
    assert!(text(&ended).contains("pools.toml:2: crossing.fee: it is 2;"), "{}", text(&ended));
    std::fs::remove_file(&alone).unwrap();
    assert!(text(&run(&["check", &file])).contains("cannot be read"));
}

#[test]
fn a_single_sidecar_takes_limits_from_the_file_that_the_environment_names() {
    let file = folder().with_extension("toml");
    std::fs::write(&file, CLOSED).unwrap();
    let upstream = Scripted::new(|_| ScriptedResponse::ok("fine"));
    let known = loopback::ready_server_list(&[&upstream]);
    let discovery = loopback::Discovery::new(&known);
    // Its own zone is the second; the stand-in's upstreams are in the first.
    let settings = loopback::SETTINGS.replace("\"zone\":0", "\"zone\":1");
    let config = loopback::config_json("127.0.0.1:0", discovery.address, &known, 1024, &settings);
    let sidecar = loopback::Sidecar::start_with_env(&config, &[("SAGEMAST_POOLS", &file)]);
    sidecar.wait_until_up();
    let refused = loopback::Client::connect(sidecar.address).exchange("fetch");
    assert_eq!(refused.status(), 503, "nobody near, and nothing may cross");
    std::fs::write(&file, BENDS).unwrap();
    sidecar.reload(&config);
    sidecar.wait_for_log("SIGHUP: discovery is at");
    loopback::wait_until("it crosses", || {
        loopback::Client::connect(sidecar.address).exchange("fetch").status() == 200
    });
    std::fs::write(&file, "nonsense").unwrap();
    sidecar.reload(&config);
    sidecar.wait_for_log("the old configuration stays");
    assert_eq!(loopback::Client::connect(sidecar.address).exchange("fetch").status(), 200);
    let mut sidecar = sidecar;
    sidecar.signal("-TERM");
    assert!(sidecar.wait_for_exit().success());
    sidecar.wait_for_log("crossing: fetch to ");
    let mut ended = loopback::spawn_with_env(&config, &[("SAGEMAST_POOLS", &file)]);
    assert_eq!(ended.wait().unwrap().code(), Some(1), "a start with a faulty file");
    std::fs::remove_file(&file).unwrap();
}

/// The outcome that a client of the control socket is told, so that scripts can tell it apart.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_fleet_without_limits_counts_nothing() {
    let mut stage = Stage::new([1, 1], HALF).await;
    stage.buildings.file.instances.iter_mut().for_each(|(_, _, more)| {
        *more = more.replace("pools = \"pools.toml\"", "");
    });
    let daemon = stage.daemon();
    assert_eq!(reports(&daemon), []);
    assert!(text(&ctl(&daemon, &["crossing"])).contains("nothing is counted"));
    let json = text(&ctl(&daemon, &["--json", "crossing"]));
    let reply: sagemast_daemon::frames::Reply = serde_json::from_str(json.trim()).unwrap();
    assert_eq!(reply.outcome, Outcome::Ok(Answer::Crossing(Vec::new())));
}
