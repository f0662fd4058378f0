#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review; they need only the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/harness-2 review/harness-2/main.rs
