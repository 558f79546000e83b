//! The module stays small enough to be read in a sitting.

#[test]
fn the_module_keeps_its_limits() {
    // `fleet.rs` keeps what these decide by, and decides nothing.
    let files = [include_str!("../src/balancer.rs"), include_str!("../src/state.rs")];
    let lines = files.into_iter().flat_map(str::lines);
    let lines: Vec<&str> = lines.filter(|line| !line.trim().is_empty()).collect();
    assert!(lines.len() <= 1_200, "{} lines", lines.len());
    let long = lines.iter().find(|line| line.chars().count() > 110);
    assert_eq!(long, None, "too long");
}
