//! 1,200 sidecars and 1,200 servers: each server is in some subset, and a single sidecar uses all servers.

mod common;

use std::collections::HashSet;

use common::*;
use sagemast_decide::api::*;
use sagemast_decide::subset;

const SERVERS: u64 = 1_200;
const SIDECARS: u32 = 1_200;

fn listings() -> Vec<Listing> {
    (0..SERVERS)
        .map(|id| Listing { key: subset::name_key(&format!("server-{id:04}")), ..listing(id) })
        .collect()
}

fn settings_of(identity: Identity, sidecars: u32) -> Settings {
    Settings { identity, sidecars, ..settings() }
}

/// For each server, the number of subsets that it is in; and the size of the largest subset.
fn count_memberships(identity: impl Fn(u32) -> Identity) -> (Vec<usize>, usize) {
    let mut memberships = vec![0usize; SERVERS as usize];
    let mut largest_subset = 0;
    for rank in 0..SIDECARS {
        let mut stage = Harness::new(settings_of(identity(rank), SIDECARS), listings());
        // The subset is determined by the first request.
        let _ = stage.arrive(IDEMPOTENT);
        let members: Vec<u64> = (0..SERVERS).filter(|id| stage.balancer.is_member(UpstreamId(*id))).collect();
        largest_subset = largest_subset.max(members.len());
        members.into_iter().for_each(|id| memberships[id as usize] += 1);
    }
    let (least, most) = (memberships.iter().min(), memberships.iter().max());
    println!("each server in {least:?} to {most:?} subsets; largest subset: {largest_subset} servers");
    (memberships, largest_subset)
}

#[test]
fn every_server_is_in_a_subset_of_ranked_sidecars() {
    let (memberships, largest_subset) = count_memberships(|rank| Identity::Ranked { rank, count: SIDECARS });
    assert!(memberships.iter().all(|subsets| *subsets > 0));
    assert!(largest_subset < 20, "{largest_subset} servers in one subset");
}

/// With named sidecars, a share of e^-8 of the servers is in no subset on average: 0.4 of 1,200.
#[test]
fn at_most_two_servers_are_in_no_subset_of_named_sidecars() {
    let (memberships, largest_subset) =
        count_memberships(|rank| Identity::Named(subset::name_key(&format!("sidecar-{rank}"))));
    let in_none = memberships.iter().filter(|subsets| **subsets == 0).count();
    assert!(in_none <= 2, "{in_none} of {SERVERS} servers are in no subset");
    assert!(largest_subset < 20, "{largest_subset} servers in one subset");
}

#[test]
fn single_sidecar_sends_to_all_servers() {
    for identity in [Identity::Anonymous, Identity::Ranked { rank: 0, count: 1 }] {
        let mut stage = Harness::new(settings_of(identity, 1), listings());
        let mut used = HashSet::new();
        for _ in 0..60 * SERVERS {
            let (request, actions) = stage.arrive(IDEMPOTENT);
            if let Some(upstream) = sent_to(&actions) {
                used.insert(upstream);
                stage.finish(request, 0, upstream, Outcome::Ok, 5.0);
            }
            stage.now += 1.0;
        }
        assert_eq!(used.len(), SERVERS as usize, "{identity:?}");
    }
}
