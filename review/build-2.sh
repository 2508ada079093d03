#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, with the compiler alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in silent quota; do
    rustc --edition 2024 -O -o "target/review-2/$name" "review/standins-2/$name.rs"
done
