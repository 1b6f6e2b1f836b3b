#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of deploy/balancer.toml. Needs no network and no dependency.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/rig review/stand-2/rig.rs
