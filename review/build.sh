#!/bin/sh
# Builds the stand-ins of the scripts under review/ with the compiler alone, into target/review/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/harness/main.rs -o target/review/harness
