#!/bin/bash
# Builds the stand-ins and drivers of the cases of the second review, without a network.
set -eu
cd "$(dirname "$0")/standin-2"
exec cargo build --release --locked --offline --target-dir ../../target/review-2
