#!/usr/bin/env bash
# Builds the stand-ins and the judge of the cases, without dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
exec rustc --edition 2024 -C opt-level=2 -o target/review/harness review/harness/main.rs
