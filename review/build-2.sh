#!/usr/bin/env bash
# Builds the stand-ins of cases 4 to 8 with the standard library alone; needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -D warnings --crate-name review_standins_2 -o target/review/standins-2 review/standins-2.rs
