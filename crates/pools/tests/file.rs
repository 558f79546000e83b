//! `pools.toml`: how it is parsed and applied to settings, and that each fault is reported with its line and
//! key.

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
    serde_json::from_str(&text.replace("ZONE", &zone.to_string())).expect("valid settings")
}

#[test]
fn rules_hold_the_budgets_that_apply_to_the_zone_of_the_instance() {
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
    .expect("the file has no faults");
    let (rules, names) = file.rules(&settings(0)).expect("the settings have all names");
    assert_eq!(
        (rules.cost, rules.exemption_threshold, rules.exemptions.clone()),
        (0.03, 0.3, vec![BudgetExemption::Down, BudgetExemption::Full])
    );
    assert_eq!(rules.budgets.len(), 1, "the other budget is for pass-road");
    assert_eq!((rules.budgets[0].limit, rules.budgets[0].burst), (BudgetLimit::Share(0.02), 10.0));
    assert_eq!((names.local_zone, names.zones.len(), names.classes.len()), (0, 2, 2));
    let (rules, _) = file.rules(&settings(1)).expect("the settings have all names");
    let bill_budget = &rules.budgets[1];
    assert_eq!((bill_budget.limit, bill_budget.burst), (BudgetLimit::PerSecond(5.0), 3.0));
    assert_eq!(
        (bill_budget.classes.clone(), bill_budget.to.clone()),
        (Some(vec![ClassId(1)]), Some(vec![ZoneId(0)]))
    );
}

#[test]
fn each_fault_of_the_file_is_reported_with_its_line_and_key() {
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
    .expect_err("the file has faults");
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        [
            "2: crossing.fee: it is 1.5; a share of a request's worth above 0 and below 1 is needed",
            "3: crossing.bends: \"sideways\" is no reason; there are down, full, late, failing and bound",
            "4: crossing.budget[0]: give one of share, per_second and bytes_per_second",
            "8: crossing.budget[1].share: it is 2; from 0 to 1 is allowed",
            "9: crossing.budget[1].burst: it is 0.5; at least 1 is needed",
            "7: crossing.budget[1].classes: it is empty, so the budget would never apply; leave it out for all",
        ]
    );
    let first_fault = |text: &str| File::read(text).expect_err("the file has a fault")[0].to_string();
    assert!(first_fault("[crossing]\nbudget = 3\n").starts_with("2: crossing"));
    assert!(first_fault("[crossing]\n[[crossing.budget]]\nshares = 1\n").contains("unknown field `shares`"));
    assert!(first_fault("[crosing]\n").contains("crosing"));
    assert!(
        first_fault("[crossing]\nfee = 0.5\nbend_at = 0.1\n").starts_with("2: crossing.fee: it is above")
    );
    assert!(first_fault("[crossing]\nfee = nan\n").contains("it is NaN"));
    assert!(
        first_fault(&format!("[crossing]\n{}", "[[crossing.budget]]\nshare=0.1\n".repeat(33)))
            .contains("32 are allowed")
    );
}

#[test]
fn names_and_zones_missing_from_the_settings_are_reported() {
    let text = "[crossing]\n[[crossing.budget]]\nshare = 0.1\nclasses = [\"page-fetch\", \"copybill\"]\nto = [\"mars\"]\n";
    let file = File::read(text).expect("the file by itself has no faults");
    let faults = file.rules(&settings(0)).expect_err("two names are unknown");
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        [
            "4: crossing.budget[0].classes: the settings know no class \"copybill\"; there are page-fetch, copy-bill",
            "5: crossing.budget[0].to: the settings know no zone \"mars\"; there are howard-ave, pass-road",
        ]
    );
    let faults = file.rules(&settings(7)).expect_err("the zone of the instance is unknown");
    assert_eq!(
        faults[0].to_string(),
        "1: crossing: settings.azs names 2 zones; the zone of the instance, number 7, is not one of them"
    );
}
