//! Two buildings of stand-in upstreams under budgets for what crosses between them: calm, then every upstream of one
//! crawls, then calm again. What crossed is told twice, by the daemon and by the upstreams, and must agree.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use sagemast_daemon::frames::{Answer, Ask};
use sagemast_pools::counts::Totals;
use sagemast_stage::buildings::{BUILDINGS, Buildings};
use sagemast_stage::clients::{Application, Book, Class, Tally};
use sagemast_stage::program::Daemon;
use sagemast_stage::upstream::Nature;
use tokio::time::{Instant, sleep_until};

use crate::report::Report;

const UPSTREAMS: usize = 5;
/// Requests a second of the clients of one building: four in ten of what its upstreams can do.
const RATE: f64 = 70.0;
/// How many times slower the upstreams of howard-ave work while they crawl.
const CRAWL: f64 = 6.0;
/// Service that a budget may cost, in points of 1: calm, and in trouble, where it is noisy.
const CALM_LOSS: f64 = 0.01;
const TROUBLE_LOSS: f64 = 0.08;

/// A budget to be tried: its name, the share, and whether it may bend.
const BUDGETS: [(&str, Option<f64>, bool); 5] = [
    ("none", None, true),
    ("0 %", Some(0.0), true),
    ("2 %", Some(0.02), true),
    ("10 %", Some(0.1), true),
    ("2 % hard", Some(0.02), false),
];

/// What came of one.
struct Outcome {
    book: Book,
    /// Up to the end of the calm, and to the end.
    calm: Totals,
    all: Totals,
    /// Attempts from either building that came to the other, as the upstreams tell it.
    came_across: u64,
    came: u64,
    doubled: usize,
    undone: usize,
}

impl Outcome {
    /// Crossings that a budget paid for, and those that it did not, in the trouble.
    fn shares(&self) -> [f64; 3] {
        let bent = |totals: &Totals| totals.rows.iter().map(|row| row.exempted.total()).sum::<u64>();
        let (calm, calm_crossed) = self.calm.attempts_and_crossings(None);
        let (all, crossed) = self.all.attempts_and_crossings(None);
        let (then, crossed_then) = ((all - calm) as f64, (crossed - calm_crossed) as f64);
        let bent_then = (bent(&self.all) - bent(&self.calm)) as f64;
        [calm_crossed as f64 / calm as f64, (crossed_then - bent_then) / then, bent_then / then]
    }
}

async fn play(
    program: &Path,
    number: usize,
    share: Option<f64>,
    bends: bool,
    phases: [u64; 3],
) -> Result<Outcome, String> {
    let io = |error: std::io::Error| error.to_string();
    let folder = std::env::temp_dir().join(format!("sgm-rig-{}-{number}", std::process::id()));
    let nature = Nature { cores: 2, work_ms: 57.0, ..Nature::default() };
    let stage = Buildings::start(&folder, [UPSTREAMS; 2], nature).await.map_err(io)?;
    let budget = share.map_or(String::new(), |share| format!("[[crossing.budget]]\nshare = {share}\n"));
    let bends = if bends { "" } else { "bends = []\n" };
    stage.limit(&format!("[crossing]\n{bends}{budget}")).map_err(io)?;
    let daemon = tokio::task::block_in_place(|| {
        let daemon = Daemon::start(program, &stage.file)?;
        daemon.settle()?;
        Ok::<_, String>(daemon)
    })?;
    let tally = Arc::new(Tally::default());
    let phase = Arc::new(AtomicU64::new(0));
    let begun = Instant::now();
    let [calm, trouble, after] = phases.map(Duration::from_secs);
    let mut loads = tokio::task::JoinSet::new();
    for (seed, (building, mark)) in BUILDINGS.into_iter().enumerate() {
        let address = daemon.address(building)?;
        let application = Application::marked(address, tally.clone(), Duration::from_millis(1_500), mark);
        // The same arrivals under every budget.
        loads.spawn(application.load(RATE, begun + calm + trouble + after, phase.clone(), seed as u64));
    }
    sleep_until(begun + calm).await;
    let counted = || {
        tokio::task::block_in_place(|| match daemon.ask(Ask::Crossing { name: None })? {
            Answer::Crossing(reports) => {
                let mut totals = Totals::default();
                reports.iter().for_each(|report| totals.add(&report.totals));
                Ok(totals)
            }
            other => Err(format!("no counts: {other:?}")),
        })
    };
    let calm_counts = counted()?;
    phase.store(1, Ordering::Relaxed);
    stage.of(0).for_each(|upstream| upstream.slow_down(CRAWL));
    sleep_until(begun + calm + trouble).await;
    phase.store(2, Ordering::Relaxed);
    stage.of(0).for_each(|upstream| upstream.slow_down(1.0));
    while loads.join_next().await.is_some() {}
    let all = counted()?;
    drop(daemon);
    let _ = std::fs::remove_dir_all(&folder);
    let book = tally.book().clone();
    let (came, came_across) = stage.came();
    Ok(Outcome {
        doubled: stage.effects.doubled(book.once.iter().map(String::as_str)) + stage.effects.doubled_keys(),
        undone: book.done.iter().filter(|id| stage.effects.of(id) == 0).count(),
        came_across,
        came,
        book,
        calm: calm_counts,
        all,
    })
}

pub async fn run(program: &Path, short: bool) -> Result<Report, String> {
    let phases = if short { [6, 8, 4] } else { [20, 30, 10] };
    // Side by side, so that all have the same machine and the same arrivals.
    let mut runs = tokio::task::JoinSet::new();
    for (number, (_, share, bends)) in BUDGETS.into_iter().enumerate() {
        let program = program.to_owned();
        runs.spawn(async move { (number, play(&program, number, share, bends, phases).await) });
    }
    let mut outcomes: Vec<Option<Outcome>> = BUDGETS.iter().map(|_| None).collect();
    while let Some(run) = runs.join_next().await {
        let (number, outcome) = run.map_err(|error| error.to_string())?;
        outcomes[number] = Some(outcome?);
    }
    let outcomes: Vec<Outcome> = outcomes.into_iter().flatten().collect();
    let mut report = Report::new("crossing");
    let service = |at: usize, phase: usize| outcomes[at].book.service(phase, None);
    for (at, (name, share, bends)) in BUDGETS.into_iter().enumerate() {
        let Outcome { book, all, came, came_across, doubled, undone, .. } = &outcomes[at];
        let [calm, paid, bent] = outcomes[at].shares();
        report.figure(&format!("{name}: crossed, calm"), calm);
        match share {
            // What was sent while attempts were few pays for no more than its share, whatever came before.
            Some(share) => report.bound(&format!("{name}: crossed within budget, crawl"), paid, share + 0.01),
            None => report.figure(&format!("{name}: crossed, crawl"), paid),
        }
        report.figure(&format!("{name}: crossed by bends, crawl"), bent);
        for (phase, when) in ["calm", "crawl", "after"].into_iter().enumerate() {
            report.figure(&format!("{name}: served in aim, {when}"), service(at, phase));
        }
        if let (Some(_), true) = (share, bends) {
            report.bound(&format!("{name}: service lost, calm"), service(0, 0) - service(at, 0), CALM_LOSS);
            report.bound(
                &format!("{name}: service lost, crawl"),
                service(0, 1) - service(at, 1),
                TROUBLE_LOSS,
            );
        }
        if !bends {
            report.bound(&format!("{name}: bends"), bent, 0.0);
        }
        report.bound(&format!("{name}: lost"), book.lost as f64, 0.0);
        report.bound(&format!("{name}: doubled effects"), (doubled + undone) as f64, 0.0);
        let unsent: u64 = all.rows.iter().map(|row| row.unsent).sum();
        let far_unsent: u64 = all.rows.iter().filter(|row| row.is_cross_zone()).map(|row| row.unsent).sum();
        let (attempts, crossed) = all.attempts_and_crossings(None);
        report.bound(
            &format!("{name}: attempts told otherwise by upstreams"),
            (attempts - unsent).abs_diff(*came) as f64,
            0.0,
        );
        report.bound(
            &format!("{name}: crossings told otherwise by upstreams"),
            (crossed - far_unsent).abs_diff(*came_across) as f64,
            0.0,
        );
    }
    report.note("served in aim by class, and share that crossed, over the whole run:".to_owned());
    for (at, (name, ..)) in BUDGETS.into_iter().enumerate() {
        let by_class = Class::ALL.map(|class| {
            let (all, crossed) = outcomes[at].all.attempts_and_crossings(Some(class.name()));
            let service = outcomes[at].book.service(1, Some(class));
            let share = 100.0 * crossed as f64 / all.max(1) as f64;
            format!("{} {service:.3} in the crawl, {share:.1} %", class.name())
        });
        report.note(format!("{name:<9} {}", by_class.join("; ")));
    }
    Ok(report)
}
