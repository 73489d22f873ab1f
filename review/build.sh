#!/usr/bin/env bash
# Builds the stand-ins of all cases (clients, stream servers, discovery, the platform) with the standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p .built
rustc --edition 2021 -O --crate-name case -o .built/case standins/main.rs
