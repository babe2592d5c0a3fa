//! What the load tool answers to options that start nothing.

use std::process::{Command, Output};

fn bench(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_latchwheel-bench")).args(arguments).output().unwrap()
}

#[test]
fn the_version_is_printed_without_a_command() {
    let told = bench(&["--version"]);
    assert!(told.status.success());
    let version = format!("latchwheel-bench {}\n", env!("CARGO_PKG_VERSION"));
    assert_eq!(String::from_utf8(told.stdout).unwrap(), version);
}

#[test]
fn nothing_at_all_is_a_wrong_use() {
    assert_eq!(bench(&[]).status.code(), Some(2));
}
