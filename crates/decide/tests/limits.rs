//! The decision logic stays small enough to be read in one sitting.

#[test]
fn balancer_and_state_keep_the_limits_on_lines_and_line_length() {
    // `fleet.rs` only keeps the data that the decisions are based on.
    let files = [include_str!("../src/balancer.rs"), include_str!("../src/state.rs")];
    let lines = files.into_iter().flat_map(str::lines);
    let lines: Vec<&str> = lines.filter(|line| !line.trim().is_empty()).collect();
    assert!(lines.len() <= 1_200, "{} lines", lines.len());
    let too_long = lines.iter().find(|line| line.chars().count() > 110);
    assert_eq!(too_long, None, "longer than 110 characters");
}
