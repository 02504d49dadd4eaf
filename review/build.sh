#!/bin/sh
# Builds the stand-ins that the scripts of this review start, with the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O --crate-type rlib --crate-name standin -o target/review/libstandin.rlib review/standin/lib.rs
for source in review/*/case.rs; do
    number=$(basename "$(dirname "$source")")
    rustc --edition 2024 -O --extern standin=target/review/libstandin.rlib -o "target/review/case-$number" "$source"
done
