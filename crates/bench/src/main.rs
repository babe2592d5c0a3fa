//! p
fn main() {}
