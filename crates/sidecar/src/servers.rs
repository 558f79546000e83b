//! The upstreams that discovery names: their ids for the module, their connections, and when they are forgotten.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

use sagemast_decide::api::*;
use sagemast_decide::settings::Config as SettingsObject;
use sagemast_decide::subset;

use crate::connection::Pool;
use crate::hosts::{Health, Host, HostList};
use crate::log::Log;

/// An upstream that discovery named.
pub struct Server {
    /// As discovery told it last.
    pub host: Host,
    /// What the module knows of it.
    pub listing: Listing,
    /// Which of its lives this is: connections do not outlast one.
    pub life: u64,
    /// Its idle connections.
    pub pool: Pool,
    /// Whether it is no more: it is forgotten as soon as nothing is out on it.
    gone: bool,
}

impl Server {
    /// Where it listens.
    pub fn dial(&self) -> SocketAddr {
        self.host.dial
    }

    /// Closes its idle connections, and with the next life those that come back.
    fn ends(&mut self) {
        self.listing.lifecycle = Lifecycle::Draining;
        self.gone = true;
        self.pool.clear();
    }
}

/// All upstreams that are not forgotten.
pub struct Servers {
    ids: HashMap<String, UpstreamId>,
    by_id: BTreeMap<UpstreamId, Server>,
    last_id: u64,
    /// Unix time at the driver's epoch, in milliseconds.
    epoch_unix_ms: f64,
}

impl Servers {
    /// None yet. The module's clock starts at this Unix time.
    pub fn new(epoch_unix_ms: f64) -> Servers {
        Servers { ids: HashMap::new(), by_id: BTreeMap::new(), last_id: 1, epoch_unix_ms }
    }

    /// One of them.
    pub fn get(&self, id: UpstreamId) -> Option<&Server> {
        self.by_id.get(&id)
    }

    /// The same, to change it.
    pub fn get_mut(&mut self, id: UpstreamId) -> Option<&mut Server> {
        self.by_id.get_mut(&id)
    }

    /// The number of a host in this life.
    pub fn number(&self, host: &str, born_ms: f64) -> Option<UpstreamId> {
        let id = *self.ids.get(host)?;
        self.by_id.get(&id).filter(|server| server.host.born_ms == born_ms).map(|_| id)
    }

    /// The idle connections to each.
    pub fn pools(&mut self) -> impl Iterator<Item = &mut Pool> {
        self.by_id.values_mut().map(|server| &mut server.pool)
    }

    /// The idle connections of each.
    pub fn pools_by_id(&mut self) -> impl Iterator<Item = (UpstreamId, &mut Pool)> {
        self.by_id.iter_mut().map(|(id, server)| (*id, &mut server.pool))
    }

    /// Takes in a list, or the changes in it, and returns it in the module's terms.
    pub fn take(
        &mut self,
        list: &HostList,
        whole: bool,
        settings: &SettingsObject,
        now: Millis,
        log: &Log,
    ) -> Vec<Listing> {
        let hosts = list.entries(log);
        let mut listings: Vec<Listing> = hosts.iter().map(|host| self.update(host, settings, now)).collect();
        if whole {
            // An entry that cannot be read is not missing: what was known of its host stands.
            let unread = list.undecodable_names().filter_map(|name| self.ids.get(name));
            listings.extend(unread.filter_map(|id| self.by_id.get(id)).map(|server| server.listing.clone()));
            let named: HashSet<UpstreamId> = listings.iter().map(|listing| listing.upstream).collect();
            let missing = self.by_id.iter_mut().filter(|(id, _)| !named.contains(id));
            missing.for_each(|(_, server)| server.ends());
        }
        listings
    }

    /// Takes in what discovery says of one host.
    fn update(&mut self, host: &Host, settings: &SettingsObject, now: Millis) -> Listing {
        let id = *self.ids.entry(host.host.clone()).or_insert_with(|| {
            self.last_id += 1;
            UpstreamId(self.last_id)
        });
        let lifecycle = if host.health == Health::Ready { Lifecycle::Serving } else { Lifecycle::Draining };
        let known = self.by_id.get(&id).filter(|server| server.host.born_ms == host.born_ms);
        // A start in the future, by another machine's clock, is one just now.
        let started = match known {
            Some(server) => server.listing.started,
            None => (host.born_ms > 0.0).then(|| (host.born_ms - self.epoch_unix_ms).min(now)),
        };
        let listing = Listing {
            upstream: id,
            zone: ZoneId(settings.zone_id(&host.site)),
            cell: CellId(host.block),
            kind: KindId(settings.kind_id(&host.class)),
            lifecycle,
            weight: host.share,
            started,
            key: subset::name_key(&host.host),
        };
        let server = self.by_id.entry(id).or_insert_with(|| Server {
            host: host.clone(),
            listing: listing.clone(),
            life: 0,
            pool: Pool::default(),
            gone: false,
        });
        // Connections to another address or another life lead nowhere, or to the wrong process.
        if server.host.dial != host.dial || server.host.born_ms != host.born_ms {
            server.life += 1;
            server.pool.clear();
        }
        (server.host, server.listing) = (host.clone(), listing.clone());
        server.gone = false;
        if lifecycle == Lifecycle::Draining {
            server.pool.clear();
        }
        if host.health == Health::Gone {
            server.ends();
        }
        listing
    }

    /// Those that serve or drain, in discovery's form: what a successor starts from.
    pub fn list(&self, seq: u64) -> HostList {
        let kept = self.by_id.values().filter(|server| !server.gone);
        let hosts = kept.filter_map(|server| serde_json::to_value(&server.host).ok()).collect();
        HostList { seq, whole: true, hosts }
    }

    /// How many serve or drain.
    pub fn count(&self) -> usize {
        self.by_id.values().filter(|server| !server.gone).count()
    }

    /// How many drain.
    pub fn draining(&self) -> usize {
        let drains = |server: &&Server| !server.gone && server.listing.lifecycle == Lifecycle::Draining;
        self.by_id.values().filter(drains).count()
    }

    /// Whether there is anything to sweep up: idle connections, or upstreams that are gone.
    pub fn need_sweep(&self) -> bool {
        self.by_id.values().any(|server| server.gone || !server.pool.is_empty())
    }

    /// Forgets those that are gone and on which nothing is out: others come in their place under new names all
    /// the time. A name that comes back later is that of a server that nothing is known of.
    pub fn forget(&mut self, busy: impl Iterator<Item = UpstreamId>) {
        if self.by_id.values().any(|server| server.gone) {
            let busy: HashSet<UpstreamId> = busy.collect();
            self.by_id.retain(|id, server| !server.gone || busy.contains(id));
            self.ids.retain(|_, id| self.by_id.contains_key(id));
        }
    }

    /// How many there are.
    #[cfg(test)]
    fn len(&self) -> (usize, usize) {
        (self.ids.len(), self.by_id.len())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn settings() -> SettingsObject {
        let text = r#"{"classes":[{"name":"a","aim":250.0,"hard_limit":900.0,"importance":2.0,"effect":"repeatable"}],
            "allowed":{"max_attempts":3},"peers_total":3,"membership_mode":"automatic","telemetry":{},
            "invariants":{"cold_share":0.1,"warm_up":2e4,"fall_multiple":2.5,"fall":1500.0}}"#;
        serde_json::from_str(text).unwrap()
    }

    fn change(host: usize, health: &str) -> HostList {
        let text = format!(
            r#"{{"seq":1,"hosts":[{{"host":"h{host}","dial":"127.0.0.1:1","health":"{health}","born_ms":5}}]}}"#
        );
        serde_json::from_str(&text).unwrap()
    }

    #[test]
    fn the_gone_are_forgotten_once_nothing_is_out_on_them() {
        let (mut servers, settings) = (Servers::new(0.0), settings());
        let mut ids = HashSet::new();
        for host in 0..100 {
            let [listing] = &servers.take(&change(host, "ready"), false, &settings, 9.0, &Log::process())[..]
            else {
                panic!("one entry, one listing")
            };
            assert!(ids.insert(listing.upstream), "ids are not used again");
            assert_eq!(listing.started, Some(5.0), "one at the address of another starts cold");
            servers.take(&change(host, "gone"), false, &settings, 9.0, &Log::process());
            servers.forget(std::iter::once(listing.upstream));
            assert_eq!(servers.len(), (1, 1), "an attempt is still out on it");
            servers.forget(std::iter::empty());
            assert_eq!(servers.len(), (0, 0));
        }
    }

    #[test]
    fn one_that_drains_is_kept_and_one_that_is_missing_from_a_whole_list_is_not() {
        let (mut servers, settings) = (Servers::new(0.0), settings());
        servers.take(&change(1, "ready"), false, &settings, 9.0, &Log::process());
        servers.take(&change(1, "draining"), false, &settings, 9.0, &Log::process());
        servers.forget(std::iter::empty());
        assert_eq!(servers.len(), (1, 1));
        servers.take(&change(2, "ready"), true, &settings, 9.0, &Log::process());
        servers.forget(std::iter::empty());
        assert_eq!(servers.len(), (1, 1), "of the two only the second");
        assert!(servers.by_id.values().all(|server| server.host.host == "h2"));
    }
}
