//! The days of an experiment through real processes: a daemon with as many instances as there are sidecars, a stand-in
//! for each server, and the very tries that the model draws, open loop. Times count from when a try was due, so that a
//! load that falls behind shows (coordinated omission). Beside it stands what the model says of the same day.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use sagemast_model::clients::first_tries;
use sagemast_model::day::{Day, FaultKind};
use sagemast_model::experiment::{Cell, Experiment};
use sagemast_model::outcome::Outcome;
use sagemast_model::world::{shapes, struck};
use sagemast_sidecar::hosts::Health;
use sagemast_stage::clients::{Application, Class, Tally};
use sagemast_stage::discovery::Discovery;
use sagemast_stage::effects::Effects;
use sagemast_stage::fleet::FleetFile;
use sagemast_stage::program::Daemon;
use sagemast_stage::upstream::{Cell as Keys, Nature, Upstream};
use tokio::time::{Instant, sleep_until};

use crate::report::Report;

/// Points of goodput, and shares of the median and of the 99th percentile, by which model and reality may differ.
const GOODPUT: f64 = 3.0;
const P50: f64 = 0.15;
const P99: f64 = 0.35;
/// The instances have their lists and connections; the day begins.
const SETTLE: Duration = Duration::from_millis(300);

struct Real {
    goodput: f64,
    p50_ms: f64,
    p99_ms: f64,
    lost: u64,
    doubled: usize,
}

/// The day's classes, by their names.
fn classes(day: &Day) -> Result<Vec<Class>, String> {
    let find = |name: &str| Class::ALL.into_iter().find(|class| class.name() == name);
    let class = |class: &sagemast_model::day::Class| {
        find(&class.name).ok_or_else(|| format!("the stand-in clients know no class {:?}", class.name))
    };
    day.class.iter().map(class).collect()
}

async fn play(program: &Path, day: &Day, seed: u64) -> Result<Real, String> {
    let io = |error: std::io::Error| error.to_string();
    if day.clients.burst.is_some() || day.clients.retries > 0 || day.network.zones != 1 {
        return Err("only days of one zone, without bursts and retries, can be played on sockets".to_owned());
    }
    let kinds = classes(day)?;
    let (effects, keys) = (Arc::new(Effects::default()), Keys::default());
    let discovery = Discovery::start().await.map_err(io)?;
    let mut upstreams = Vec::new();
    for (number, (shape, _)) in shapes(day, seed).into_iter().enumerate() {
        let share = shape.cores as f64;
        let nature = Nature { cores: shape.cores, share, speed: Some(shape.speed), ..Nature::default() };
        let upstream = Upstream::start(nature, effects.clone(), keys.clone()).await.map_err(io)?;
        discovery.put(&format!("s{number}"), &upstream, Health::Ready);
        upstreams.push(upstream);
    }
    let folder = std::env::temp_dir().join(format!("sgm-rig-{}-reality", std::process::id()));
    let mut file = FleetFile::new(&folder, discovery.address).with_instances(day.clients.sidecars);
    file.sockets = 256;
    file.settings = file.settings.replace("peers_total = 1", "peers_total = 1\nperiod = 1.0");
    for (class, kind) in day.class.iter().zip(&kinds) {
        let (name, aim) = (kind.name(), class.aim_ms);
        let from = file.settings.find(&format!("name = \"{name}\"")).unwrap_or(0);
        let (head, tail) = file.settings.split_at(from);
        let tail = tail.replacen("aim = 500.0", &format!("aim = {aim:.1}"), 1);
        let tail = tail.replacen("hard_limit = 2000.0", &format!("hard_limit = {:.1}", class.deadline_ms), 1);
        file.settings = format!("{head}{tail}");
    }
    let daemon = tokio::task::block_in_place(|| {
        let daemon = Daemon::start(program, &file)?;
        daemon.settle()?;
        Ok::<_, String>(daemon)
    })?;
    let tally = Arc::new(Tally::default());
    let begun = Instant::now() + SETTLE;
    let mut loads = tokio::task::JoinSet::new();
    let deadline = day.class.iter().map(|class| class.deadline_ms).fold(0.0, f64::max);
    for sidecar in 0..day.clients.sidecars {
        let address = daemon.address(&format!("i{sidecar}"))?;
        let timeout = Duration::from_secs_f64(deadline / 1e3);
        let application = Application::new(address, tally.clone(), timeout);
        let (tries, kinds) = (first_tries(day, seed, sidecar), kinds.clone());
        loads.spawn(async move {
            let mut open = tokio::task::JoinSet::new();
            for one in tries {
                let due = begun + Duration::from_nanos(one.at);
                sleep_until(due).await;
                let (application, class) = (application.clone(), kinds[one.class]);
                let cost = (one.work_ms * 1e3).round() as u64;
                open.spawn(async move {
                    let status = application.ask_for(class, 0, Some(cost)).await;
                    (one, status == Some(200), due.elapsed())
                });
            }
            open.join_all().await
        });
    }
    for (number, fault) in day.fault.iter().enumerate() {
        let FaultKind::Slow(times) = fault.kind else { continue };
        let all = (0..upstreams.len()).collect();
        for (at_s, times) in [(fault.from_s, times), (fault.from_s + fault.for_s, 1.0)] {
            sleep_until(begun + Duration::from_secs_f64(at_s)).await;
            let those = struck(fault.part, Vec::clone(&all), seed, number);
            those.into_iter().for_each(|server| upstreams[server].slow_down(times));
        }
    }
    let answers: Vec<_> = loads.join_all().await.into_iter().flatten().collect();
    drop(daemon);
    let _ = std::fs::remove_dir_all(&folder);
    let mut times = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).map_err(|error| error.to_string())?;
    let (mut asked, mut served) = (0.0, 0.0);
    for (one, is_served, took) in answers {
        if one.at < (day.warm_up_s * 1e9) as u64 {
            continue;
        }
        let class = &day.class[one.class];
        asked += class.worth;
        if is_served {
            times.saturating_record(took.as_micros() as u64);
            served += if took.as_secs_f64() * 1e3 <= class.aim_ms { class.worth } else { 0.0 };
        }
    }
    let book = tally.book().clone();
    Ok(Real {
        goodput: 100.0 * served / asked,
        p50_ms: times.value_at_quantile(0.5) as f64 / 1e3,
        p99_ms: times.value_at_quantile(0.99) as f64 / 1e3,
        lost: book.lost,
        doubled: effects.doubled(book.once.iter().map(String::as_str)) + effects.doubled_keys(),
    })
}

pub async fn run(program: &Path, days: &Path, short: bool) -> Result<Report, String> {
    let text = std::fs::read_to_string(days).map_err(|error| format!("{}: {error}", days.display()))?;
    let experiment = Experiment::read(&text, false).map_err(|faults| {
        faults.iter().map(|f| format!("{}:{f}", days.display())).collect::<Vec<_>>().join("\n")
    })?;
    let mut report = Report::new("reality");
    for (point, day) in experiment.points.iter().enumerate() {
        if short && point > 0 {
            break;
        }
        let mut day = day.day.clone();
        if short {
            (day.length_s, day.warm_up_s) = (day.length_s.min(15.0), day.warm_up_s.min(5.0));
        }
        let name = experiment.points[point].values.join(", ");
        let seed = 1;
        let real = play(program, &day, seed).await?;
        let cell = Cell { point, policy: "sagemast".to_owned(), seed };
        let model: Outcome = if short {
            sagemast_model::world::play(&day, "sagemast", seed, false).unwrap_or_default()
        } else {
            experiment.play(&cell, false)
        };
        let goodput = 100.0 * model.goodput;
        report.figure(&format!("{name}: goodput % of the model"), goodput);
        report.figure(&format!("{name}: goodput % on sockets"), real.goodput);
        report.bound(&format!("{name}: points between them"), (goodput - real.goodput).abs(), GOODPUT);
        let pairs = [
            ("p50", model.quantiles_ms[0], real.p50_ms, P50),
            ("p99", model.quantiles_ms[2], real.p99_ms, P99),
        ];
        for (what, model, real, most) in pairs {
            report.figure(&format!("{name}: {what} ms of the model"), model);
            report.figure(&format!("{name}: {what} ms on sockets"), real);
            report.bound(&format!("{name}: {what} apart"), (real / model - 1.0).abs(), most);
        }
        report.bound(&format!("{name}: lost or doubled"), real.lost as f64 + real.doubled as f64, 0.0);
    }
    Ok(report)
}
