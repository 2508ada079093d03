#!/bin/sh
# Builds the stand-ins of the cases; needs nothing but the compiler.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
# The cases have two words in their names; `kit.rs` and `engine.rs` are parts of them.
for source in review/standins/*_*.rs; do
    rustc --edition 2024 -O -o "target/review/$(basename "$source" .rs)" "$source"
done
