//! What an instance of the daemon may hold.

use std::path::Path;

use sagemast_daemon::config::{Fleet, InstanceSpec};
use sagemast_daemon::fleet_file::load;
use sagemast_daemon::grants::Grants;
use sagemast_sidecar::resource_limits::{BUFFER_KIB_PER_TRANSFER, connections_kib};

const FLEET: &str = r#"
[daemon]
control = "c.sock"
[template]
discovery = "127.0.0.1:8500"
[template.settings]
peers_total = 3
membership_mode = "automatic"
classes = [{ name = "a", aim = 250.0, hard_limit = 900.0, importance = 2.0, effect = "repeatable" }]
telemetry = {}
allowed = { max_attempts = 3 }
invariants = { cold_share = 0.1, warm_up = 2e4, fall_multiple = 2.5, fall = 1500.0 }
[[instance]]
name = "one"
listen = "127.0.0.1:0"
"#;

fn fleet_with(instance_settings: &str) -> Fleet {
    let name = format!("grants-{}.toml", std::process::id());
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&file, format!("{FLEET}{instance_settings}")).expect("cannot write the file");
    load(&file).expect("no faults")
}

fn memory_kib(spec: &InstanceSpec, transfers: usize) -> usize {
    connections_kib(spec.connections()) + transfers * BUFFER_KIB_PER_TRANSFER
}

/// Guards against an instance whose buffers may take more than its `memory_mb`, at its start and after a change.
#[test]
fn connections_and_buffers_of_an_instance_stay_within_its_memory() {
    let mut grants = Grants::new(100);
    for (memory_mb, sockets) in [(8, 64), (32, 256), (4, 1_000), (64, 100)] {
        let fleet = fleet_with(&format!("memory_mb = {memory_mb}\nsockets = {sockets}\n"));
        let (name, spec) = fleet.instances.first_key_value().expect("one instance");
        // The first call grants, the others resize.
        let budgets = grants.of(name, spec);
        let transfers = budgets.buffers.limit();
        assert!(transfers >= 1 && budgets.clients.limit() == spec.connections());
        let most_kib = memory_kib(spec, transfers);
        assert!(most_kib <= memory_mb * 1024, "{memory_mb} MB: {most_kib} KiB");
    }
}
