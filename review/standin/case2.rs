//! Case 2: the client. It sends short requests and uploads, and judges when the uploads are answered.

use std::io::Write;
use std::net::Shutdown;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Record};
use crate::Options;

/// An answer that comes later than this after the client's time is lost.
const LATE_LIMIT: Duration = Duration::from_millis(500);
/// How long a client that has no answer goes on reading, so that the record shows when it comes.
const READ_ON: Duration = Duration::from_secs(16);

/// What became of an upload.
enum Fate {
    /// The client could not send its last byte, so that the sidecar has not taken the request.
    NotTaken,
    /// Answered in time, with this status.
    Answered(u16),
    /// The last byte was written, and no whole answer came in time.
    Lost,
}

fn upload(address: &str, bytes: usize, timeout: Duration, record: &Record) -> std::io::Result<Fate> {
    let id = http::next_id();
    let mut connection = http::connect(address)?;
    let head = format!(
        "POST /copy-bill HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {id}\r\nX-Priority-Class: copy-bill\r\n\
         X-Timeout-Ms: {}\r\nContent-Length: {bytes}\r\n\r\n",
        timeout.as_millis()
    );
    let mut message = head.into_bytes();
    message.resize(message.len() + bytes, b'b');
    record.line(&format!("upload id={id} bytes={bytes} timeout_ms={}", timeout.as_millis()));
    let began = Instant::now();
    connection.stream.set_write_timeout(Some(READ_ON))?;
    if let Err(error) = connection.stream.write_all(&message) {
        record.line(&format!("not_taken id={id} after_ms={} error={error}", began.elapsed().as_millis()));
        return Ok(Fate::NotTaken);
    }
    let sent = Instant::now();
    record.line(&format!("taken id={id} last_byte_after_ms={}", began.elapsed().as_millis()));
    connection.stream.set_read_timeout(Some(READ_ON))?;
    let answer = connection.head().ok().flatten().and_then(|head| {
        let mut body = Vec::new();
        let end = connection.body(&head, true, &mut body).ok()?;
        (end == http::BodyEnd::Whole).then_some((head.status(), body))
    });
    let took = sent.elapsed();
    let _ = connection.stream.shutdown(Shutdown::Both);
    let in_time = took <= timeout + LATE_LIMIT;
    let status = answer.as_ref().map_or(0, |(status, _)| *status);
    let foreign =
        answer.is_some_and(|(status, body)| status == 200 && body != format!("answer to {id}").as_bytes());
    record.line(&format!(
        "answer id={id} status={status} after_ms={} due_ms={} in_time={in_time} foreign={foreign}",
        took.as_millis(),
        (timeout + LATE_LIMIT).as_millis()
    ));
    Ok(if status != 0 && in_time { Fate::Answered(status) } else { Fate::Lost })
}

pub fn run(options: &Options) {
    let record = Record::open(options.get("record"));
    let address = options.get("sidecar").to_owned();
    let hung: Vec<String> = options.get("hung-pids").split(',').map(str::to_owned).collect();
    let trouble = options.number("trouble", 1) != 0;
    let (bytes, count) = (options.number("bytes", 4 << 20) as usize, options.number("uploads", 40));
    let timeout = Duration::from_millis(options.number("timeout-ms", 900));
    let group = options.number("group", 5);
    if !http::wait_until_up(&address, Duration::from_secs(30)) {
        record.line("the sidecar is not up");
        std::process::exit(2);
    }
    let (stop, served) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let shorts: Vec<_> = (0..options.number("shorts", 0))
        .map(|_| {
            let (address, stop, served) = (address.clone(), stop.clone(), served.clone());
            thread::spawn(move || http::short_requests(&address, &stop, &served))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    if trouble {
        hung.iter().for_each(|pid| http::signal("STOP", pid, &record));
    }
    let fates = Arc::new(Mutex::new(Vec::new()));
    let uploads: Vec<_> = (0..count)
        .map(|number| {
            let (address, record, fates) = (address.clone(), record.clone(), fates.clone());
            let one = thread::spawn(move || {
                let fate = upload(&address, bytes, timeout, &record);
                fates.lock().unwrap().extend(fate);
            });
            if (number + 1) % group == 0 {
                thread::sleep(Duration::from_millis(1_000));
            }
            one
        })
        .collect();
    // The silence lasts for 15 s in all.
    thread::sleep(Duration::from_millis(15_000 - (count / group * 1_000).min(15_000)));
    if trouble {
        hung.iter().for_each(|pid| http::signal("CONT", pid, &record));
    }
    uploads.into_iter().for_each(|one| drop(one.join()));
    stop.store(true, Ordering::Relaxed);
    shorts.into_iter().for_each(|one| drop(one.join()));
    let fates = fates.lock().unwrap();
    let count = |wanted: fn(&Fate) -> bool| fates.iter().filter(|fate| wanted(fate)).count();
    let lost = count(|fate| matches!(fate, Fate::Lost));
    let answered = count(|fate| matches!(fate, Fate::Answered(200)));
    let other = count(|fate| matches!(fate, Fate::Answered(status) if *status != 200));
    let not_taken = count(|fate| matches!(fate, Fate::NotTaken));
    let summary = format!(
        "summary uploads={} served={answered} refused_or_failed={other} not_taken={not_taken} lost={lost} short_served={}",
        fates.len(),
        served.load(Ordering::Relaxed)
    );
    record.line(&summary);
    println!("{summary}");
    if fates.is_empty() {
        std::process::exit(2);
    }
    std::process::exit(i32::from(lost > 0));
}
