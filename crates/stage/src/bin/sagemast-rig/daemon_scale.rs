//! What idle instances cost: memory, descriptors, wake-ups and processor time, and how soon all are ready.

use std::path::Path;
use std::time::Duration;

use sagemast_sidecar::hosts::Health;
use sagemast_stage::discovery::Discovery;
use sagemast_stage::effects::Effects;
use sagemast_stage::fleet::FleetFile;
use sagemast_stage::procfs::usage;
use sagemast_stage::program::Daemon;
use sagemast_stage::upstream::{Nature, Upstream};
use tokio::time::{Instant, sleep};

use crate::report::Report;

/// Upstreams in the list that every instance holds.
const UPSTREAMS: usize = 12;

pub async fn run(program: &Path, short: bool) -> Result<Report, String> {
    let effects = std::sync::Arc::new(Effects::default());
    let discovery = Discovery::start().await.map_err(|error| error.to_string())?;
    let mut upstreams = Vec::new();
    for number in 0..UPSTREAMS {
        let started = Upstream::start(Nature::default(), effects.clone(), Default::default()).await;
        let upstream = started.map_err(|error| error.to_string())?;
        discovery.put(&format!("u{number}"), &upstream, Health::Ready);
        upstreams.push(upstream);
    }
    let mut report = Report::new("daemon-scale");
    let watch = Duration::from_secs(if short { 3 } else { 10 });
    let mut one = None;
    for count in [1, 10, 100, 1_000] {
        let folder = std::env::temp_dir().join(format!("sagemast-rig-{}-scale-{count}", std::process::id()));
        let mut file = FleetFile::new(&folder, discovery.address).with_instances(count);
        file.sockets = 16;
        let begun = Instant::now();
        let daemon = tokio::task::block_in_place(|| {
            let daemon = Daemon::start(program, &file)?;
            daemon.settle()?;
            Ok::<_, String>(daemon)
        })?;
        let ready = begun.elapsed();
        // Lists have been kept and nothing is left to do.
        sleep(Duration::from_secs(1)).await;
        let before = usage(daemon.pid());
        sleep(watch).await;
        let after = usage(daemon.pid());
        let seconds = watch.as_secs_f64();
        let core = (after.cpu - before.cpu).as_secs_f64() / seconds;
        let wakes = (after.sleeps - before.sleeps) as f64 / seconds;
        report.figure(&format!("{count} ready in s"), ready.as_secs_f64());
        report.figure(&format!("{count} rss MiB"), after.rss_kib as f64 / 1024.0);
        report.figure(&format!("{count} wakes per s"), wakes);
        let single = *one.get_or_insert(after);
        if count > 1 {
            let more = (count - 1) as f64;
            let kib = after.rss_kib.saturating_sub(single.rss_kib) as f64 / more;
            report.bound(&format!("{count} KiB each"), kib, 150.0);
            let descriptors = (after.descriptors - single.descriptors) as f64 / more;
            report.bound(&format!("{count} descriptors each"), descriptors, 4.0);
            report.figure(&format!("{count} wakes per s each"), wakes / count as f64);
        }
        if count == 1_000 {
            report.bound("1000 idle share of a core", core, 0.03);
        }
        drop(daemon);
        let _ = std::fs::remove_dir_all(&folder);
    }
    Ok(report)
}
