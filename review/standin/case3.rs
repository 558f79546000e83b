//! Case 3: the platform, which kills a sidecar that goes over its memory limit, the usual clients, and bad
//! clients that send many requests at once.

use std::io::{Read, Write};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Record};
use crate::Options;

/// Memory of a process that is its own, without its program's text: `[RssAnon + RssShmem, VmRSS]` in KiB.
fn memory_kib(pid: &str) -> Option<[u64; 2]> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let field = |name: &str| {
        let line = status.lines().find(|line| line.starts_with(name))?;
        line.split_whitespace().nth(1)?.parse::<u64>().ok()
    };
    Some([field("RssAnon:")? + field("RssShmem:")?, field("VmRSS:")?])
}

/// One connection of a bad client: requests of 64 KiB, all at once; then it reads what it is sent.
fn bad_connection(address: &str, requests: usize) -> std::io::Result<usize> {
    let mut connection = http::connect(address)?;
    let mut message = Vec::new();
    for _ in 0..requests {
        let id = http::next_id();
        message.extend_from_slice(
            format!(
                "POST /copy-bill HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {id}\r\nX-Priority-Class: copy-bill\r\n\
                 X-Timeout-Ms: 900\r\nContent-Length: 65536\r\n\r\n"
            )
            .as_bytes(),
        );
        message.resize(message.len() + 65_536, b'b');
    }
    connection.stream.set_write_timeout(Some(Duration::from_secs(3)))?;
    connection.stream.set_read_timeout(Some(Duration::from_secs(3)))?;
    connection.stream.write_all(&message)?;
    let (began, mut read) = (Instant::now(), 0);
    let mut chunk = [0; 4096];
    while began.elapsed() < Duration::from_secs(3) {
        match connection.stream.read(&mut chunk)? {
            0 => break,
            bytes => read += bytes,
        }
    }
    Ok(read)
}

pub fn run(options: &Options) {
    let record = Record::open(options.get("record"));
    let (address, pid) = (options.get("sidecar").to_owned(), options.get("sidecar-pid").to_owned());
    let limit_mb = options.number("memory-mb", 32);
    let trouble = options.number("trouble", 1) != 0;
    let (connections, requests) =
        (options.number("connections", 250), options.number("requests", 6) as usize);
    if !http::wait_until_up(&address, Duration::from_secs(30)) {
        record.line("the sidecar is not up");
        std::process::exit(2);
    }
    let (stop, over) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let (served, most) = (Arc::new(AtomicU64::new(0)), Arc::new([AtomicU64::new(0), AtomicU64::new(0)]));
    let platform = {
        let (stop, over, most, record, pid) =
            (stop.clone(), over.clone(), most.clone(), record.clone(), pid.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let Some(memory) = memory_kib(&pid) else { return };
                for (most, now) in most.iter().zip(memory) {
                    most.fetch_max(now, Ordering::Relaxed);
                }
                if memory[0] > limit_mb * 1024 {
                    record.line(&format!(
                        "over memory own_kib={} rss_kib={} limit_mb={limit_mb}",
                        memory[0], memory[1]
                    ));
                    over.store(true, Ordering::Relaxed);
                    http::signal("KILL", &pid, &record);
                    return;
                }
                thread::sleep(Duration::from_millis(5));
            }
        })
    };
    let shorts: Vec<_> = (0..8)
        .map(|_| {
            let (address, stop, served) = (address.clone(), stop.clone(), served.clone());
            thread::spawn(move || http::short_requests(&address, &stop, &served))
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    record.line(&format!(
        "before own_kib={} rss_kib={} served={}",
        most[0].load(Ordering::Relaxed),
        most[1].load(Ordering::Relaxed),
        served.load(Ordering::Relaxed)
    ));
    let ends = Instant::now() + Duration::from_secs(options.number("seconds", 20));
    let bad: Vec<_> = (0..if trouble { connections } else { 0 })
        .map(|_| {
            let (address, over, record) = (address.clone(), over.clone(), record.clone());
            thread::spawn(move || {
                while Instant::now() < ends && !over.load(Ordering::Relaxed) {
                    match bad_connection(&address, requests) {
                        Ok(read) => {
                            record.line(&format!("bad_connection requests={requests} answer_bytes={read}"))
                        }
                        Err(error) => {
                            record.line(&format!("bad_connection requests={requests} error={error}"));
                            thread::sleep(Duration::from_millis(50));
                        }
                    }
                }
            })
        })
        .collect();
    while Instant::now() < ends && !over.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(20));
    }
    bad.into_iter().for_each(|one| drop(one.join()));
    thread::sleep(Duration::from_millis(300));
    stop.store(true, Ordering::Relaxed);
    let _ = platform.join();
    shorts.into_iter().for_each(|one| drop(one.join()));
    let crashed = over.load(Ordering::Relaxed) || memory_kib(&pid).is_none();
    let summary = format!(
        "summary most_own_mb={:.1} most_rss_mb={:.1} limit_mb={limit_mb} crashed={crashed} short_served={}",
        most[0].load(Ordering::Relaxed) as f64 / 1024.0,
        most[1].load(Ordering::Relaxed) as f64 / 1024.0,
        served.load(Ordering::Relaxed)
    );
    record.line(&summary);
    println!("{summary}");
    if served.load(Ordering::Relaxed) == 0 {
        std::process::exit(2);
    }
    std::process::exit(i32::from(crashed));
}
