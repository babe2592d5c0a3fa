//! The estimate of a parsed text's memory.

use latchwheel_core::parsed_size::parsed_bytes;

#[test]
fn many_small_values_take_a_multiple_of_their_text() {
    let dense = format!("[{}1]", "1,".repeat(1000));
    assert!(parsed_bytes(dense.as_bytes()) > 20 * dense.len());
}

#[test]
fn separators_inside_of_strings_are_no_values() {
    let prose = format!("{{\"prompt\":\"{}\"}}", "a, b: \\\"c\\\" [d] ".repeat(1000));
    assert!(parsed_bytes(prose.as_bytes()) < prose.len() + 1024);
}
