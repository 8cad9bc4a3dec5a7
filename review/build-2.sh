#!/bin/sh
# Builds the stand-ins of the second review's scripts (review/6 to review/10) without a network: the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
rustc --edition 2024 -O -o target/review-2 review/standin-2/main.rs
