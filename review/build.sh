#!/usr/bin/env bash
# Builds the stand-ins of the cases; needs no network beyond what the project's build has.
set -euo pipefail
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR="$PWD/target/review" cargo build --offline --locked --release --manifest-path review/stand-ins/Cargo.toml
