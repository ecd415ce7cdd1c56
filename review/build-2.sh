#!/usr/bin/env bash
# Builds the stand-ins of the second review: `target/review-2/standin`. They use the
# standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc -O --edition 2024 -o target/review-2/standin review/standin-2/main.rs
