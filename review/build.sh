#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, with the compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/standins/main.rs -o target/review/standins
