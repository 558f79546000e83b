//! From discovery's hosts to the core's servers.

use std::collections::HashSet;
use std::net::SocketAddr;

use sagemast_flows::api::{Entry, News};
use sagemast_flows::file::{Fixed, Listener};
use sagemast_sidecar::hosts::{Health, Host, HostList};
use sagemast_sidecar::log::Log;

/// A server that the file names.
pub fn fixed(fixed: &Fixed) -> Entry {
    Entry {
        name: fixed.name.clone(),
        dial: fixed.dial,
        zone: fixed.zone,
        weight: fixed.weight,
        started: None,
        serving: !fixed.draining,
    }
}

/// A list of discovery in the core's terms. An entry that cannot be read is no sign that its host is gone. `epoch` is
/// the Unix time, in milliseconds, at which the core's clock stood at 0.
pub fn news(
    list: &HostList,
    listener: &Listener,
    known: &mut HashSet<String>,
    epoch: f64,
    log: &Log,
) -> News {
    let hosts = list.entries(log);
    let (gone, here): (Vec<&Host>, Vec<&Host>) = hosts.iter().partition(|host| host.health == Health::Gone);
    let entries: Vec<Entry> = here.iter().map(|host| entry(host, listener, epoch)).collect();
    let mut gone: Vec<String> = gone.iter().map(|host| host.name.clone()).collect();
    if list.complete {
        let unread: HashSet<&str> = list.undecodable_names().collect();
        let named: HashSet<&str> = entries.iter().map(|entry| entry.name.as_str()).collect();
        let missing =
            known.iter().filter(|name| !named.contains(name.as_str()) && !unread.contains(name.as_str()));
        gone.extend(missing.cloned().collect::<Vec<_>>());
    }
    known.extend(entries.iter().map(|entry| entry.name.clone()));
    known.retain(|name| !gone.contains(name));
    News::Changed(entries, gone)
}

fn entry(host: &Host, listener: &Listener, epoch: f64) -> Entry {
    let place = listener.zones.iter().position(|zone| *zone == host.zone);
    Entry {
        name: host.name.clone(),
        dial: SocketAddr::new(host.address.ip(), listener.port.unwrap_or(host.address.port())),
        // A zone that is not named is far from all.
        zone: place.map_or(u64::MAX, |place| place as u64),
        weight: if host.weight > 0.0 { host.weight } else { 1.0 },
        started: (host.started_ms > 0.0).then_some(host.started_ms - epoch),
        serving: host.health == Health::Ready,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use sagemast_flows::file::File;

    #[test]
    fn hosts_become_servers_and_leave() {
        let file = File::read(
            "[[listener]]\nname = \"a\"\nlisten = \"127.0.0.1:0\"\ndiscovery = \"127.0.0.1:1\"\nport = 77\nzones = [\"x\"]",
        )
        .expect("it is sound");
        let mut known = HashSet::new();
        let mut read = |text: &str| {
            let list: HostList = serde_json::from_str(text).expect("it is a list");
            news(&list, &file.listeners[0], &mut known, 1_000.0, &Log::process())
        };
        let News::Changed(entries, gone) = read(
            r#"{"seq":1,"whole":true,"hosts":[{"host":"a","dial":"127.0.0.1:5","health":"ready","site":"x",
            "born_ms":1500},{"host":"b","dial":"127.0.0.1:6","health":"draining"}]}"#,
        ) else {
            panic!("no change")
        };
        assert!(gone.is_empty());
        assert_eq!(entries[0].dial, ([127, 0, 0, 1], 77).into());
        assert_eq!((entries[0].zone, entries[0].started, entries[0].serving), (0, Some(500.0), true));
        assert_eq!((entries[1].zone, entries[1].serving), (u64::MAX, false));
        let next = r#"{"seq":2,"whole":true,"hosts":[{"host":"b","dial":"nowhere","health":"ready"}]}"#;
        assert_eq!(read(next), News::Changed(vec![], vec!["a".to_owned()]), "b cannot be read, a is missing");
        let last = r#"{"seq":3,"hosts":[{"host":"b","dial":"127.0.0.1:6","health":"gone"}]}"#;
        assert_eq!(read(last), News::Changed(vec![], vec!["b".to_owned()]));
    }
}
