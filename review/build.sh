#!/usr/bin/env bash
# Builds the stand-ins that the cases start: the project's own endpoint of the soak, and the cases' driver.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --bin soak
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standin review/standin/main.rs
