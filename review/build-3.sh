#!/bin/sh
# Builds the stand-ins of the third review. It needs no package and no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/rig review/standin-3/rig.rs
