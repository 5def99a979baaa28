#!/usr/bin/env bash
# Builds the stand-ins and drivers of the review's scripts. It needs no network once the build of the deploy file has run.
set -euo pipefail
cd "$(dirname "$0")/standin"
cargo build --release --offline
