#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, without a network: one program, standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/play review/standins-2/main.rs
