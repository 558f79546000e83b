//! 1,200 sidecars and 1,200 servers: each server is known to some of them, and one sidecar alone draws them all.

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

/// By how many sidecars each server is known, and how many servers one sidecar knows at most.
fn known_by(identity: impl Fn(u32) -> Identity) -> (Vec<usize>, usize) {
    let mut known_by = vec![0usize; SERVERS as usize];
    let mut largest = 0;
    for rank in 0..SIDECARS {
        let mut stage = Stage::new(settings_of(identity(rank), SIDECARS), listings());
        // Members are told when a request needs them.
        let _ = stage.arrive(REPEATABLE);
        let members: Vec<u64> = (0..SERVERS).filter(|id| stage.balancer.is_member(UpstreamId(*id))).collect();
        largest = largest.max(members.len());
        members.into_iter().for_each(|id| known_by[id as usize] += 1);
    }
    let (least, most) = (known_by.iter().min(), known_by.iter().max());
    println!("known to {least:?} to {most:?} sidecars; {largest} servers at most to one");
    (known_by, largest)
}

/// Subsets are small, and together those of numbered sidecars leave nobody out.
#[test]
fn each_server_is_known_to_some_numbered_sidecar() {
    let (known_by, largest) = known_by(|rank| Identity::Ranked { rank, count: SIDECARS });
    assert!(known_by.iter().all(|sidecars| *sidecars > 0));
    assert!(largest < 20, "{largest} servers known to one sidecar");
}

/// Where sidecars have names only, chance leaves out e^-8 of the servers on the mean, 0.4 of 1,200.
#[test]
fn hardly_a_server_is_unknown_to_all_named_sidecars() {
    let (known_by, largest) = known_by(|rank| Identity::Named(subset::name_key(&format!("sidecar-{rank}"))));
    let unknown = known_by.iter().filter(|sidecars| **sidecars == 0).count();
    assert!(unknown <= 2, "{unknown} of {SERVERS} servers are known to nobody");
    assert!(largest < 20, "{largest} servers known to one sidecar");
}

/// One that is alone sends to each of them.
#[test]
fn a_sidecar_that_is_alone_draws_all_of_them() {
    for identity in [Identity::Anonymous, Identity::Ranked { rank: 0, count: 1 }] {
        let mut stage = Stage::new(settings_of(identity, 1), listings());
        let mut drawn = HashSet::new();
        for _ in 0..60 * SERVERS {
            let (request, actions) = stage.arrive(REPEATABLE);
            if let Some(to) = sent_to(&actions) {
                drawn.insert(to);
                stage.finish(request, 0, to, Outcome::Ok, 5.0);
            }
            stage.now += 1.0;
        }
        assert_eq!(drawn.len(), SERVERS as usize, "{identity:?}");
    }
}
