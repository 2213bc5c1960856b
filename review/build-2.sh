#!/usr/bin/env bash
# Builds the stand-ins that the cases of the second review start (6 to 10), with the compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/{6,7,8,9,10}/case.rs; do
    [ -e "$case" ] || continue
    number=$(basename "$(dirname "$case")")
    rustc --edition 2021 -O -o "target/review-2/case-$number" "$case"
done
