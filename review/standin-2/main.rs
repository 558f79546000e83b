//! The cases 6 to 10 of the review: `standin NAME FOLDER`. Exits with 0 if the rule held, 1 if it was broken, and 2
//! if the case couldn't run. With `TROUBLE=0` the case runs without its disruption.

mod copied;
mod cut;
mod harness;
mod left;
mod pipeline;
mod unread;

use std::time::Duration;

use harness::{Case, World};

/// No case runs for longer.
const LONGEST: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &arguments[..] else {
        eprintln!("usage: standin NAME FOLDER");
        std::process::exit(2);
    };
    // A fault of the case itself is no verdict: it ends with 2, and nothing that it has started stays behind.
    std::panic::set_hook(Box::new(|panic| {
        eprintln!("the case couldn't run: {panic}");
        harness::end_children();
        std::process::exit(2);
    }));
    let (case, world) = (Case::new(folder), World::new());
    let record = world.record.clone();
    let path = case.folder.join("record.txt");
    let (late_record, late_path) = (record.clone(), path.clone());
    std::thread::spawn(move || {
        std::thread::sleep(LONGEST);
        late_record.line("the case took too long");
        late_record.write(&late_path);
        harness::end_children();
        std::process::exit(2);
    });
    let held = match name.as_str() {
        "copied" => copied::run(&case, &world),
        "cut" => cut::run(&case, &world),
        "pipeline" => pipeline::run(&case, &world),
        "left" => left::run(&case, &world),
        "unread" => unread::run(&case, &world),
        _ => Err(format!("there is no case {name}")),
    };
    world.stop.set();
    for (process, log) in case.logs() {
        log.lines().for_each(|line| record.line(format!("log of {process}: {line}")));
    }
    let code = match &held {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(_) => 2,
    };
    if let Err(reason) = &held {
        record.line(format!("the case couldn't run: {reason}"));
        eprintln!("{name}: the case couldn't run: {reason}");
    }
    record.write(&path);
    harness::end_children();
    drop(case);
    std::process::exit(code);
}
