#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. Needs the Rust toolchain only.
# Their sources are named script.rs, as build.sh compiles each case.rs with the stand-ins of its own.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/script.rs; do
    number=$(basename "$(dirname "$source")")
    rustc --edition 2024 -O -o "target/review-2/case-$number" "$source"
done
