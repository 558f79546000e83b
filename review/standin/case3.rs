//! Case 3: the client. It fetches long pages and judges whether they come whole.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, BodyEnd, Record};
use crate::Options;

/// What became of a fetch.
struct Fate {
    id: String,
    status: u16,
    /// When the first bytes of the body came, and when the answer ended.
    first_ms: Option<u128>,
    end_ms: u128,
    bytes: usize,
    whole: bool,
}

fn fetch(address: &str, timeout: Duration, record: &Record) -> std::io::Result<Fate> {
    let id = http::next_id();
    let mut connection = http::connect(address)?;
    connection.stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    let request = format!(
        "GET /page-fetch?k=long HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {id}\r\n\
         X-Priority-Class: page-fetch\r\nX-Timeout-Ms: {}\r\n\r\n",
        timeout.as_millis()
    );
    connection.stream.write_all(request.as_bytes())?;
    let sent = Instant::now();
    record.line(&format!("fetch id={id} timeout_ms={}", timeout.as_millis()));
    let mut fate = Fate { id, status: 0, first_ms: None, end_ms: 0, bytes: 0, whole: false };
    if let Ok(Some(head)) = connection.head() {
        fate.status = head.status();
        fate.first_ms = Some(sent.elapsed().as_millis());
        let mut body = Vec::new();
        fate.whole = matches!(connection.body(&head, true, &mut body), Ok(BodyEnd::Whole));
        fate.bytes = body.len();
    }
    fate.end_ms = sent.elapsed().as_millis();
    record.line(&format!(
        "answer id={} status={} first_ms={:?} end_ms={} bytes={} whole={}",
        fate.id, fate.status, fate.first_ms, fate.end_ms, fate.bytes, fate.whole
    ));
    Ok(fate)
}

pub fn run(options: &Options) {
    let record = Record::open(options.get("record"));
    let (address, slow_file) = (options.get("sidecar").to_owned(), options.get("slow-file").to_owned());
    let trouble = options.number("trouble", 1) != 0;
    let timeout = Duration::from_millis(options.number("timeout-ms", 500));
    let seconds = options.number("seconds", 20);
    let rate = options.number("rate", 20);
    if !http::wait_until_up(&address, Duration::from_secs(30)) {
        record.line("the sidecar is not up");
        std::process::exit(2);
    }
    let fates = Arc::new(Mutex::new(Vec::new()));
    let mut fetches = Vec::new();
    for number in 0..seconds * rate {
        // After 4 s the servers are slow, for 14 s.
        if trouble && number == 4 * rate {
            record.line("trouble begins");
            std::fs::write(&slow_file, "").unwrap();
        }
        if trouble && number == 18 * rate {
            record.line("trouble ends");
            let _ = std::fs::remove_file(&slow_file);
        }
        let (address, record, fates) = (address.clone(), record.clone(), fates.clone());
        fetches.push(thread::spawn(move || {
            if let Ok(fate) = fetch(&address, timeout, &record) {
                fates.lock().unwrap().push(fate);
            }
        }));
        thread::sleep(Duration::from_micros(1_000_000 / rate));
    }
    fetches.into_iter().for_each(|one| drop(one.join()));
    let fates = fates.lock().unwrap();
    let whole = fates.iter().filter(|fate| fate.status == 200 && fate.whole).count();
    let not_served = fates.iter().filter(|fate| fate.status != 200 && fate.status != 0).count();
    let unanswered = fates.iter().filter(|fate| fate.status == 0).count();
    let cut = fates.iter().filter(|fate| fate.status == 200 && !fate.whole).count();
    let summary = format!(
        "summary fetches={} whole={whole} not_served={not_served} unanswered={unanswered} cut={cut}",
        fates.len()
    );
    record.line(&summary);
    println!("{summary}");
    if whole == 0 {
        std::process::exit(2);
    }
    std::process::exit(i32::from(cut + unanswered > 0));
}
