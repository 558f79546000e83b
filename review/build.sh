#!/bin/sh
# Builds the stand-ins of the review's cases to review/bin/. Run after the build of the deploy file.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
rustc --edition 2021 -O -o bin/standin standin/main.rs
