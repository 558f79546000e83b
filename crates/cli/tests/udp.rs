//! End-to-end tests of the UDP flows of a daemon as a process: live feeds during handovers and after kills, discovery, and
//! `sagemast ctl flows`.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use sagemast_daemon::frames::{Answer, Ask, FlowsReport};
use sagemast_sidecar::hosts::Health;
use sagemast_stage::discovery::Discovery;
use sagemast_stage::feeds::{FeedServer, Viewers};
use sagemast_stage::fleet::FleetFile;
use sagemast_stage::program::{Daemon, FOREVER};

const PROGRAM: &str = env!("CARGO_BIN_EXE_sagemast");
/// The interval between two datagrams of a feed.
const FEED_INTERVAL: Duration = Duration::from_millis(100);
const FEEDS: usize = 500;

static NEXT_FOLDER_NUMBER: AtomicUsize = AtomicUsize::new(0);

/// Feed servers, discovery and the configuration of a daemon with one UDP listener.
struct Setup {
    discovery: Discovery,
    servers: Vec<FeedServer>,
    file: FleetFile,
    listen_address: SocketAddr,
}

impl Setup {
    async fn new(servers: u16) -> Setup {
        let number = NEXT_FOLDER_NUMBER.fetch_add(1, Ordering::SeqCst);
        let folder = std::env::temp_dir().join(format!("sgu-{}-{number}", std::process::id()));
        let discovery = Discovery::start().await.expect("discovery");
        let mut file = FleetFile::new(&folder, discovery.address);
        file.state = true;
        // A fixed port, because a successor and a restarted daemon listen on it again.
        let reserved = std::net::UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a socket");
        let listen_address = reserved.local_addr().expect("an address");
        file.flows = Some(format!(
            "[[listener]]\nname = \"feeds\"\nlisten = \"{listen_address}\"\ndiscovery = \"{}\"\nzones = [\"east\"]\n\
             keep_every_ms = 100\nflows = 1500\nnew_per_s = 1000\ndrain_grace_ms = 500\n",
            discovery.address
        ));
        let mut setup = Setup { discovery, servers: Vec::new(), file, listen_address };
        for id in 0..servers {
            let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
            let server = FeedServer::start(any_port, id, FEED_INTERVAL, 100).await.expect("a server");
            setup.discovery.put_at(&format!("u{id}"), server.address(), Health::Ready);
            setup.servers.push(server);
        }
        drop(reserved);
        setup
    }

    fn daemon(&self) -> Daemon {
        run_blocking(|| Daemon::start(Path::new(PROGRAM), &self.file)).expect("the daemon starts")
    }

    /// Starts the viewers and waits until each of their feeds is served.
    async fn viewers(&self) -> Viewers {
        let from = Ipv4Addr::LOCALHOST.into();
        let viewers =
            Viewers::start(FEEDS, 1, from, self.listen_address, FEED_INTERVAL * 4, FEED_INTERVAL * 15)
                .await
                .expect("viewers");
        wait_until("all feeds are served", || viewers.seen().iter().all(|seen| seen.received > 10)).await;
        viewers
    }

    /// The feeds of each server, in ascending order.
    fn feeds(&self) -> Vec<Vec<u64>> {
        let sorted = |server: &FeedServer| {
            let mut feeds = server.feeds();
            feeds.sort_unstable();
            feeds
        };
        self.servers.iter().map(sorted).collect()
    }
}

impl Drop for Setup {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.file.folder);
    }
}

/// Runs a blocking operation without holding up the stand-ins, which share the runtime's worker threads.
fn run_blocking<T>(operation: impl FnOnce() -> T) -> T {
    tokio::task::block_in_place(operation)
}

/// Waits until a condition holds.
async fn wait_until(condition: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !run_blocking(&mut holds) {
        assert!(start.elapsed() < FOREVER, "timed out waiting until {condition}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// The report of the daemon's only listener.
fn report(daemon: &Daemon) -> FlowsReport {
    match daemon.ask(Ask::Flows { name: None, flows: 1_000 }) {
        Ok(Answer::Flows(reports)) => reports.into_iter().next().expect("one listener"),
        other => panic!("no report: {other:?}"),
    }
}

/// Runs `sagemast ctl` with these arguments.
fn ctl(daemon: &Daemon, arguments: &[&str]) -> Output {
    let mut command = Command::new(PROGRAM);
    command
        .arg("ctl")
        .arg("--socket")
        .arg(daemon.control())
        .args(arguments)
        .output()
        .expect("the program runs")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn handovers_lose_no_datagram_of_live_feeds() {
    let setup = Setup::new(3).await;
    let mut daemon = setup.daemon();
    let viewers = setup.viewers().await;
    let before = setup.feeds();
    viewers.forget();
    for _ in 0..3 {
        run_blocking(|| daemon.upgrade(Path::new(PROGRAM))).expect("the handover succeeds");
        assert_eq!(report(&daemon).counts.restored, FEEDS as u64);
    }
    let min_received: u64 = viewers.seen().iter().map(|seen| seen.received).max().unwrap_or(0) + 10;
    wait_until("all feeds continue", || viewers.seen().iter().all(|seen| seen.received >= min_received))
        .await;
    let seen = viewers.seen();
    let lost: u64 = seen.iter().map(|seen| seen.lost + seen.late + seen.foreign).sum();
    assert_eq!(lost, 0, "{:?}", seen.iter().find(|seen| seen.lost > 0));
    assert_eq!(setup.feeds(), before, "no feed was moved or restarted");
    // A failed upgrade leaves the feeds at their servers.
    let failed_upgrade = run_blocking(|| daemon.upgrade(Path::new("/bin/false")));
    assert!(failed_upgrade.is_err());
    viewers.forget();
    wait_until("all feeds continue", || viewers.seen().iter().all(|seen| seen.received > 10)).await;
    assert_eq!(setup.feeds(), before);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn after_sigkill_live_feeds_continue_at_the_same_servers_while_discovery_is_down() {
    let setup = Setup::new(3).await;
    let mut daemon = setup.daemon();
    let viewers = setup.viewers().await;
    let before = setup.feeds();
    tokio::time::sleep(Duration::from_millis(500)).await;
    setup.discovery.set_up(false);
    run_blocking(|| daemon.kill());
    run_blocking(|| daemon.start_again()).expect("the daemon starts again");
    viewers.forget();
    wait_until("all feeds continue", || viewers.seen().iter().all(|seen| seen.received > 10)).await;
    let after = report(&daemon);
    assert_eq!((after.counts.restored, after.counts.begun), (FEEDS as u64, 0));
    assert_eq!(setup.feeds(), before, "no feed was moved or restarted");

    // A saved flow table that is older than `keep_for_ms` is not used.
    run_blocking(|| daemon.kill());
    setup.discovery.set_up(true);
    let text = std::fs::read_to_string(setup.file.folder.join("flows.toml")).expect("the file is readable");
    let with_short_retention = text + "keep_for_ms = 200\n";
    std::fs::write(setup.file.folder.join("flows.toml"), with_short_retention).expect("the file is written");
    tokio::time::sleep(Duration::from_millis(400)).await;
    run_blocking(|| daemon.start_again()).expect("the daemon starts again");
    wait_until("all feeds are restarted", || report(&daemon).counts.begun >= FEEDS as u64).await;
    assert_eq!(report(&daemon).counts.restored, 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn discovery_updates_move_flows_and_ctl_reports_and_changes_them() {
    let setup = Setup::new(2).await;
    let daemon = setup.daemon();
    let viewers = setup.viewers().await;
    setup.discovery.put_at("u0", setup.servers[0].address(), Health::Draining);
    wait_until("the draining server has no flows", || {
        report(&daemon).servers.iter().any(|server| server.name == "u0" && server.flows[0] == 0)
    })
    .await;
    setup.discovery.put_at("u0", setup.servers[0].address(), Health::Gone);
    wait_until("the removed server is no longer listed", || report(&daemon).servers.len() == 1).await;
    setup.discovery.put_at("u0", setup.servers[0].address(), Health::Ready);
    wait_until("the server is listed again", || report(&daemon).servers.len() == 2).await;

    let listed = String::from_utf8(ctl(&daemon, &["flows", "list"]).stdout).expect("text");
    assert!(listed.contains("feeds") && listed.contains("2/2"), "{listed}");
    let flow = report(&daemon).table[0].flow.to_string();
    let moved = ctl(&daemon, &["flows", "move", "feeds", "--flow", &flow, "--to", "u0"]);
    assert!(moved.status.success(), "{moved:?}");
    let shown = ctl(&daemon, &["flows", "show", "feeds", "--flows", "100"]);
    let shown = String::from_utf8(shown.stdout).expect("text");
    let line = shown.lines().find(|line| line.starts_with(&format!("{flow} "))).expect("the flow is shown");
    assert!(line.contains("u0"), "{line}");
    assert!(shown.contains("datagrams dropped:"), "{shown}");
    let dropped = ctl(&daemon, &["flows", "drop", "feeds", &flow]);
    assert!(dropped.status.success(), "{dropped:?}");
    assert_eq!(ctl(&daemon, &["flows", "drop", "feeds", &flow]).status.code(), Some(5), "the flow has ended");
    assert_eq!(ctl(&daemon, &["flows", "show", "nobody"]).status.code(), Some(4));
    assert_eq!(ctl(&daemon, &["flows", "move", "feeds"]).status.code(), Some(2));

    // A faulty file changes nothing and is reported with the line of its fault.
    let path = setup.file.folder.join("flows.toml");
    let text = std::fs::read_to_string(&path).expect("the file is readable");
    std::fs::write(&path, format!("{text}idle_ms = -5\n")).expect("the file is written");
    let refused = ctl(&daemon, &["apply"]);
    assert_eq!(refused.status.code(), Some(6));
    let stderr = String::from_utf8(refused.stderr).expect("text");
    assert!(stderr.contains("flows.toml:10: listener.idle_ms: is -5"), "{stderr}");
    std::fs::write(&path, format!("{text}idle_ms = 70000\nflows_per_weight = 900\n"))
        .expect("the file is written");
    assert!(ctl(&daemon, &["apply"]).status.success());
    assert_eq!(report(&daemon).flows[1], 1_500);
    let before: Vec<u64> = viewers.seen().iter().map(|seen| seen.received).collect();
    wait_until("all feeds continue", || {
        viewers.seen().iter().zip(&before).all(|(seen, before)| seen.received > before + 5)
    })
    .await;
    // Without the `flows` key there is no listener any more.
    let mut without_flows = setup.file.clone();
    without_flows.flows = None;
    without_flows.write().expect("the file is written");
    assert!(ctl(&daemon, &["apply"]).status.success());
    let listed = String::from_utf8(ctl(&daemon, &["flows", "list"]).stdout).expect("text");
    assert!(listed.contains("there are none"), "{listed}");
}

/// Runs `sagemast check` on a flows file with this text. Returns its exit code and standard output.
fn check(folder: &Path, text: &str) -> (Option<i32>, String) {
    let file: PathBuf = folder.join("flows.toml");
    std::fs::write(&file, text).expect("the file is written");
    let output = Command::new(PROGRAM).arg("check").arg(&file).output().expect("the program runs");
    (output.status.code(), String::from_utf8(output.stdout).expect("text"))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn check_reports_every_fault_and_a_daemon_with_a_fault_does_not_start() {
    let mut setup = Setup::new(0).await;
    std::fs::create_dir_all(&setup.file.folder).expect("a folder");
    let valid = setup.file.flows.clone().expect("the setup has a flows file");
    assert_eq!(check(&setup.file.folder, &valid).0, Some(0));
    let (code, stdout) = check(&setup.file.folder, &format!("{valid}idle_ms = -1\nprefix_v4 = 4\n"));
    assert_eq!((code, stdout.lines().count()), (Some(1), 2), "{stdout}");
    setup.file.flows = Some(valid.clone() + "wishes = 1\n");
    setup.file.write().expect("the file is written");
    let run = |file: &FleetFile| {
        let mut command = Command::new(PROGRAM);
        command.args(["daemon", "--config"]).arg(file.path()).output().expect("the program runs")
    };
    let failed = run(&setup.file);
    let stderr = String::from_utf8(failed.stderr).expect("text");
    assert_eq!(failed.status.code(), Some(1));
    assert!(stderr.contains("flows.toml:10:") && stderr.contains("wishes"), "{stderr}");
    // An address in use is reported in one line, and the control socket does not exist.
    let taken = std::net::UdpSocket::bind(setup.listen_address).expect("the port is free");
    setup.file.flows = Some(valid);
    setup.file.write().expect("the file is written");
    let failed = run(&setup.file);
    let stderr = String::from_utf8(failed.stderr).expect("text");
    assert_eq!(failed.status.code(), Some(1));
    assert!(stderr.contains("flows: feeds: cannot listen on"), "{stderr}");
    assert!(!setup.file.control().exists());
    drop(taken);
}
