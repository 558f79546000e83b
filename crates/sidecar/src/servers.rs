//! The upstreams listed by discovery: their ids in the decision module, their idle connections, and their
//! removal.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

use sagemast_decide::api::*;
use sagemast_decide::settings::Config as SettingsObject;
use sagemast_decide::subset;

use crate::connection::Pool;
use crate::hosts::{Health, Host, HostList};
use crate::log::Log;

/// An upstream listed by discovery.
pub struct Server {
    /// The server's latest entry in discovery.
    pub host: Host,
    /// The server's listing in the decision module.
    pub listing: Listing,
    /// Number of the server's incarnation. Connections do not outlast an incarnation.
    pub incarnation: u64,
    /// Idle connections to the server.
    pub pool: Pool,
    /// Whether the server has ended or is no longer listed. Such a server is removed once no attempt is in
    /// flight to it.
    gone: bool,
}

impl Server {
    /// The address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.host.address
    }

    /// Marks the server as gone and closes its idle connections. Connections that are returned later are
    /// closed as well, since the server no longer serves.
    fn mark_gone(&mut self) {
        self.listing.lifecycle = Lifecycle::Draining;
        self.gone = true;
        self.pool.close_all();
    }
}

/// All upstreams that have not been removed.
pub struct Servers {
    ids: HashMap<String, UpstreamId>,
    by_id: BTreeMap<UpstreamId, Server>,
    last_id: u64,
    /// Unix time at the driver's epoch, in milliseconds.
    epoch_unix_ms: f64,
}

impl Servers {
    /// Starts without servers. The decision module's clock starts at `epoch_unix_ms`.
    pub fn new(epoch_unix_ms: f64) -> Servers {
        Servers { ids: HashMap::new(), by_id: BTreeMap::new(), last_id: 1, epoch_unix_ms }
    }

    /// The server with this id.
    pub fn get(&self, id: UpstreamId) -> Option<&Server> {
        self.by_id.get(&id)
    }

    /// The server with this id, mutable.
    pub fn get_mut(&mut self, id: UpstreamId) -> Option<&mut Server> {
        self.by_id.get_mut(&id)
    }

    /// The id of a host, if its current incarnation started at `started_ms`.
    pub fn id_of(&self, host: &str, started_ms: f64) -> Option<UpstreamId> {
        let id = *self.ids.get(host)?;
        self.by_id.get(&id).filter(|server| server.host.started_ms == started_ms).map(|_| id)
    }

    /// The pools of all servers.
    pub fn pools(&mut self) -> impl Iterator<Item = &mut Pool> {
        self.by_id.values_mut().map(|server| &mut server.pool)
    }

    /// The pools of all servers, with the servers' ids.
    pub fn pools_by_id(&mut self) -> impl Iterator<Item = (UpstreamId, &mut Pool)> {
        self.by_id.iter_mut().map(|(id, server)| (*id, &mut server.pool))
    }

    /// Applies a complete list, or changes, and returns the listings for the decision module.
    pub fn apply(
        &mut self,
        list: &HostList,
        is_complete: bool,
        settings: &SettingsObject,
        now: Millis,
        log: &Log,
    ) -> Vec<Listing> {
        let hosts = list.entries(log);
        let mut listings: Vec<Listing> =
            hosts.iter().map(|host| self.apply_host(host, settings, now)).collect();
        if is_complete {
            // A host whose entry cannot be decoded is not missing: its previous listing stays valid.
            let undecodable = list.undecodable_names().filter_map(|name| self.ids.get(name));
            let unchanged = undecodable.filter_map(|id| self.by_id.get(id));
            listings.extend(unchanged.map(|server| server.listing.clone()));
            let listed: HashSet<UpstreamId> = listings.iter().map(|listing| listing.upstream).collect();
            let missing = self.by_id.iter_mut().filter(|(id, _)| !listed.contains(id));
            missing.for_each(|(_, server)| server.mark_gone());
        }
        listings.extend(self.mark_superseded());
        listings
    }

    /// Marks servers as gone at whose address another one has started since, and returns their listings. An
    /// address leads to one process at a time, even if discovery has not told yet that the earlier one is gone.
    fn mark_superseded(&mut self) -> Vec<Listing> {
        let mut latest_starts: HashMap<SocketAddr, f64> = HashMap::new();
        for server in self.by_id.values().filter(|server| !server.gone) {
            let latest = latest_starts.entry(server.address()).or_insert(server.host.started_ms);
            *latest = latest.max(server.host.started_ms);
        }
        let is_superseded = |server: &&mut Server| {
            let latest = latest_starts.get(&server.address());
            !server.gone && latest.is_some_and(|latest| server.host.started_ms < *latest)
        };
        let superseded = self.by_id.values_mut().filter(is_superseded);
        superseded
            .map(|server| {
                server.mark_gone();
                server.listing.clone()
            })
            .collect()
    }

    /// Applies the entry of one host.
    fn apply_host(&mut self, host: &Host, settings: &SettingsObject, now: Millis) -> Listing {
        let id = *self.ids.entry(host.name.clone()).or_insert_with(|| {
            self.last_id += 1;
            UpstreamId(self.last_id)
        });
        let lifecycle = if host.health == Health::Ready { Lifecycle::Serving } else { Lifecycle::Draining };
        let known_incarnation =
            self.by_id.get(&id).filter(|server| server.host.started_ms == host.started_ms);
        // The start time comes from another machine's clock. If it lies in the future, it counts as now.
        let started = match known_incarnation {
            Some(server) => server.listing.started,
            None => (host.started_ms > 0.0).then(|| (host.started_ms - self.epoch_unix_ms).min(now)),
        };
        let listing = Listing {
            upstream: id,
            zone: ZoneId(settings.zone_id(&host.zone)),
            cell: CellId(host.cell),
            kind: KindId(settings.kind_id(&host.kind)),
            lifecycle,
            weight: host.weight,
            started,
            key: subset::name_key(&host.name),
        };
        let server = self.by_id.entry(id).or_insert_with(|| Server {
            host: host.clone(),
            listing: listing.clone(),
            incarnation: 0,
            pool: Pool::default(),
            gone: false,
        });
        // Connections to a former address or incarnation are broken, or lead to the wrong process.
        if server.host.address != host.address || server.host.started_ms != host.started_ms {
            server.incarnation += 1;
            server.pool.close_all();
        }
        (server.host, server.listing) = (host.clone(), listing.clone());
        server.gone = false;
        if lifecycle == Lifecycle::Draining {
            server.pool.close_all();
        }
        if host.health == Health::Gone {
            server.mark_gone();
        }
        listing
    }

    /// The servers that serve or drain, as a list from which a successor starts.
    pub fn to_host_list(&self, seq: u64) -> HostList {
        let present = self.by_id.values().filter(|server| !server.gone);
        let hosts = present.filter_map(|server| serde_json::to_value(&server.host).ok()).collect();
        HostList { seq, complete: true, hosts }
    }

    /// Number of servers that serve or drain.
    pub fn count(&self) -> usize {
        self.by_id.values().filter(|server| !server.gone).count()
    }

    /// Number of servers that drain.
    pub fn draining_count(&self) -> usize {
        let is_draining = |server: &&Server| !server.gone && server.listing.lifecycle == Lifecycle::Draining;
        self.by_id.values().filter(is_draining).count()
    }

    /// Whether there are idle connections or gone servers.
    pub fn needs_sweep(&self) -> bool {
        self.by_id.values().any(|server| server.gone || !server.pool.is_empty())
    }

    /// Removes gone servers without attempts in flight, since servers are continually replaced by others with
    /// new names. A name that is listed again later is that of a new server.
    pub fn remove_gone(&mut self, in_flight_to: impl Iterator<Item = UpstreamId>) {
        if self.by_id.values().any(|server| server.gone) {
            let busy: HashSet<UpstreamId> = in_flight_to.collect();
            self.by_id.retain(|id, server| !server.gone || busy.contains(id));
            self.ids.retain(|_, id| self.by_id.contains_key(id));
        }
    }

    /// Number of names and of servers.
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

    fn list_of_one(host: usize, health: &str) -> HostList {
        let text = format!(
            r#"{{"seq":1,"hosts":[{{"host":"h{host}","dial":"127.0.0.1:1","health":"{health}","born_ms":5}}]}}"#
        );
        serde_json::from_str(&text).unwrap()
    }

    #[test]
    fn gone_servers_are_removed_once_no_attempt_is_in_flight() {
        let (mut servers, settings) = (Servers::new(0.0), settings());
        let mut ids = HashSet::new();
        for host in 0..100 {
            let ready = list_of_one(host, "ready");
            let [listing] = &servers.apply(&ready, false, &settings, 9.0, &Log::process())[..] else {
                panic!("one entry, one listing")
            };
            assert!(ids.insert(listing.upstream), "ids are not reused");
            assert_eq!(listing.started, Some(5.0), "a new server at a known address has its own start time");
            servers.apply(&list_of_one(host, "gone"), false, &settings, 9.0, &Log::process());
            servers.remove_gone(std::iter::once(listing.upstream));
            assert_eq!(servers.len(), (1, 1), "an attempt is in flight to the server");
            servers.remove_gone(std::iter::empty());
            assert_eq!(servers.len(), (0, 0));
        }
    }

    /// Guards against a new process that is taken for the one before at its address.
    #[test]
    fn server_at_whose_address_a_later_one_has_started_is_gone() {
        let (mut servers, settings) = (Servers::new(0.0), settings());
        let entry = |host: &str, started_ms: u64| {
            format!(r#"{{"host":"{host}","dial":"127.0.0.1:1","health":"ready","born_ms":{started_ms}}}"#)
        };
        let list = |entries: &[String]| -> HostList {
            serde_json::from_str(&format!(r#"{{"seq":1,"hosts":[{}]}}"#, entries.join(","))).unwrap()
        };
        let lifecycles = |servers: &mut Servers, entries: &[String], is_complete: bool| -> Vec<Lifecycle> {
            let listings = servers.apply(&list(entries), is_complete, &settings, 9.0, &Log::process());
            let last_of =
                |id: UpstreamId| listings.iter().rev().find(|listing| listing.upstream == id).unwrap();
            let ids: std::collections::BTreeSet<UpstreamId> =
                listings.iter().map(|listing| listing.upstream).collect();
            ids.into_iter().map(|id| last_of(id).lifecycle).collect()
        };
        use Lifecycle::{Draining, Serving};
        // Two names of one process, as long as they start together.
        let [a, b] = [entry("a", 5), entry("b", 5)];
        assert_eq!(lifecycles(&mut servers, &[a.clone(), b], false), [Serving, Serving]);
        assert_eq!(lifecycles(&mut servers, &[entry("c", 7)], false), [Draining, Draining, Serving]);
        assert_eq!(
            lifecycles(&mut servers, &[a, entry("c", 7)], true)[0],
            Draining,
            "in a complete list, too"
        );
        assert_eq!(lifecycles(&mut servers, &[entry("a", 9)], false), [Serving, Draining], "it came back");
    }

    #[test]
    fn draining_server_is_kept_and_server_missing_from_a_complete_list_is_removed() {
        let (mut servers, settings) = (Servers::new(0.0), settings());
        servers.apply(&list_of_one(1, "ready"), false, &settings, 9.0, &Log::process());
        servers.apply(&list_of_one(1, "draining"), false, &settings, 9.0, &Log::process());
        servers.remove_gone(std::iter::empty());
        assert_eq!(servers.len(), (1, 1));
        servers.apply(&list_of_one(2, "ready"), true, &settings, 9.0, &Log::process());
        servers.remove_gone(std::iter::empty());
        assert_eq!(servers.len(), (1, 1), "only the second server is left");
        assert!(servers.by_id.values().all(|server| server.host.name == "h2"));
    }
}
