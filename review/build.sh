#!/bin/sh
# Builds the stand-ins that the scripts start. The programs of the project are built as the deploy file has it.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standins review/standins/main.rs
