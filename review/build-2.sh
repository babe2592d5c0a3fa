#!/usr/bin/env bash
# Builds the stand-ins of cases 4 to 6; needs no network beyond what the project's build has.
set -euo pipefail
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR="$PWD/target/review-2" cargo build --offline --locked --release --manifest-path review/stand-ins-2/Cargo.toml
