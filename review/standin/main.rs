//! Stand-ins for the review's cases: an upstream, a discovery agent and clients. Standard library only.
//!
//! Every process appends whole lines to one record file: `MS KIND key=value ...`, with `MS` in milliseconds
//! of Unix time.

mod case1;
mod case2;
mod case3;
mod http;
mod services;

use std::collections::HashMap;

/// The options of a command: `--name value` pairs.
pub struct Options(HashMap<String, String>);

impl Options {
    fn parse(args: &[String]) -> Options {
        let pairs = args
            .chunks(2)
            .filter_map(|pair| Some((pair.first()?.strip_prefix("--")?.to_owned(), pair.get(1)?.clone())));
        Options(pairs.collect())
    }

    /// A value that has to be there.
    pub fn get(&self, name: &str) -> &str {
        self.0.get(name).unwrap_or_else(|| {
            eprintln!("--{name} is missing");
            std::process::exit(2)
        })
    }

    /// A value, if it is given.
    pub fn find(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(String::as_str)
    }

    /// A number, or what it is if not given.
    pub fn number(&self, name: &str, default: u64) -> u64 {
        self.0.get(name).and_then(|text| text.parse().ok()).unwrap_or(default)
    }
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let options = Options::parse(args.get(1..).unwrap_or_default());
    match args.first().map(String::as_str) {
        Some("upstream") => services::upstream(&options),
        Some("discovery") => services::discovery(&options),
        Some("port") => services::print_free_ports(&options),
        Some("case1") => case1::run(&options),
        Some("case2") => case2::run(&options),
        Some("case3") => case3::run(&options),
        _ => {
            eprintln!("standin upstream|discovery|port|case1|case2|case3");
            std::process::exit(2)
        }
    }
}
