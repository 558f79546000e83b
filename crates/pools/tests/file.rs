//! `pools.toml`: what is read of it, and that every fault is told with line and key.

use sagemast_decide::api::{ClassId, ZoneId};
use sagemast_decide::cross_zone::BudgetExemption;
use sagemast_decide::settings::Config;
use sagemast_pools::cross_zone_budget::BudgetLimit;
use sagemast_pools::file::File;

fn settings(zone: u64) -> Config {
    let text = r#"{"classes":[
        {"name":"page-fetch","aim":250.0,"hard_limit":900.0,"importance":2.0,"effect":"repeatable"},
        {"name":"copy-bill","aim":250.0,"hard_limit":900.0,"importance":2.0,"effect":"once"}],
        "azs":["howard-ave","pass-road"],"zone":ZONE,
        "allowed":{"max_attempts":3},"peers_total":3,"membership_mode":"automatic","telemetry":{},
        "invariants":{"cold_share":0.1,"warm_up":2e4,"fall_multiple":2.5,"fall":1500.0}}"#;
    serde_json::from_str(&text.replace("ZONE", &zone.to_string())).expect("sound settings")
}

#[test]
fn a_file_is_read_for_the_zone_of_an_instance() {
    let file = File::read(
        r#"[crossing]
bend_at = 0.3
bends = ["down", "full"]
[[crossing.budget]]
share = 0.02
[[crossing.budget]]
classes = ["copy-bill"]
from = ["pass-road"]
to = ["howard-ave"]
per_second = 5
burst = 3.0
"#,
    )
    .expect("it is sound");
    let (rules, names) = file.rules(&settings(0)).expect("it fits");
    assert_eq!(
        (rules.cost, rules.exemption_threshold, rules.exemptions.clone()),
        (0.03, 0.3, vec![BudgetExemption::Down, BudgetExemption::Full])
    );
    assert_eq!(rules.budgets.len(), 1, "the other one is for pass-road");
    assert_eq!((rules.budgets[0].limit, rules.budgets[0].burst), (BudgetLimit::Share(0.02), 10.0));
    assert_eq!((names.local_zone, names.zones.len(), names.classes.len()), (0, 2, 2));
    let (rules, _) = file.rules(&settings(1)).expect("it fits");
    let bills = &rules.budgets[1];
    assert_eq!((bills.limit, bills.burst), (BudgetLimit::PerSecond(5.0), 3.0));
    assert_eq!((bills.classes.clone(), bills.to.clone()), (Some(vec![ClassId(1)]), Some(vec![ZoneId(0)])));
}

#[test]
fn every_fault_of_the_file_is_told_with_its_line() {
    let faults = File::read(
        r#"[crossing]
fee = 1.5
bends = ["down", "sideways"]
[[crossing.budget]]
share = 0.02
per_second = 1
[[crossing.budget]]
share = 2
burst = 0.5
classes = []
"#,
    )
    .expect_err("it is full of faults");
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        [
            "2: crossing.fee: it is 1.5; a share of a request's worth above 0 and below 1 is needed",
            "3: crossing.bends: \"sideways\" is no reason; there are down, full, late, failing and bound",
            "4: crossing.budget[0]: give one of share, per_second and bytes_per_second",
            "8: crossing.budget[1].share: it is 2; from 0 to 1 is allowed",
            "9: crossing.budget[1].burst: it is 0.5; at least 1 is needed",
            "7: crossing.budget[1].classes: it is empty, so that it would never count; leave it out for all",
        ]
    );
    let told = |text: &str| File::read(text).expect_err("it is faulty")[0].to_string();
    assert!(told("[crossing]\nbudget = 3\n").starts_with("2: crossing"));
    assert!(told("[crossing]\n[[crossing.budget]]\nshares = 1\n").contains("unknown field `shares`"));
    assert!(told("[crosing]\n").contains("crosing"));
    assert!(told("[crossing]\nfee = 0.5\nbend_at = 0.1\n").starts_with("2: crossing.fee: it is above"));
    assert!(told("[crossing]\nfee = nan\n").contains("it is NaN"));
    assert!(
        told(&format!("[crossing]\n{}", "[[crossing.budget]]\nshare=0.1\n".repeat(33)))
            .contains("32 are allowed")
    );
}

#[test]
fn names_that_the_settings_do_not_know_are_told() {
    let text = "[crossing]\n[[crossing.budget]]\nshare = 0.1\nclasses = [\"page-fetch\", \"copybill\"]\nto = [\"mars\"]\n";
    let file = File::read(text).expect("sound by itself");
    let faults = file.rules(&settings(0)).expect_err("two names are unknown");
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        [
            "4: crossing.budget[0].classes: the settings know no class \"copybill\"; there are page-fetch, copy-bill",
            "5: crossing.budget[0].to: the settings know no zone \"mars\"; there are howard-ave, pass-road",
        ]
    );
    let homeless = file.rules(&settings(7)).expect_err("no such zone");
    assert_eq!(
        homeless[0].to_string(),
        "1: crossing: settings.azs names 2 zones, and not number 7 of the instance"
    );
}
