//! Development tasks. `cargo run -p xtask -- protocol` writes the protocol
//! code anew from the `.proto` file; `-- protocol --check` only compares.

use eyre::{bail, Result, WrapErr};
use std::path::{Path, PathBuf};

const GENERATED_FILE: &str = "latchwheel.v1.rs";

fn main() -> Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let check_only = arguments.iter().any(|argument| argument == "--check");
    match arguments.first().map(String::as_str) {
        Some("protocol") => protocol(check_only),
        _ => bail!("usage: xtask protocol [--check]"),
    }
}

/// Generates the protocol code, or compares it with the committed one.
fn protocol(check_only: bool) -> Result<()> {
    let crate_folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../crates/protocol");
    let committed = crate_folder.join("src/generated").join(GENERATED_FILE);
    let output = std::env::temp_dir().join(format!("latchwheel-xtask-{}", std::process::id()));
    std::fs::create_dir_all(&output)?;
    generate(&crate_folder.join("proto"), &output)?;
    let generated = std::fs::read_to_string(output.join(GENERATED_FILE))?;
    std::fs::remove_dir_all(&output)?;
    if check_only {
        let present = std::fs::read_to_string(&committed).wrap_err("no committed protocol code")?;
        if present != generated {
            bail!("the committed protocol code differs from the .proto file: run `cargo run -p xtask -- protocol`");
        }
        return Ok(());
    }
    std::fs::write(&committed, generated).wrap_err("cannot write the protocol code")
}

fn generate(proto_folder: &Path, output: &Path) -> Result<()> {
    let descriptors =
        protox::compile(["latchwheel.proto"], [proto_folder]).map_err(|fault| eyre::eyre!("{fault:?}"))?;
    let mut config = prost_build::Config::new();
    config.out_dir(output).bytes(["."]);
    config.compile_fds(descriptors)?;
    Ok(())
}
