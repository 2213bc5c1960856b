#!/usr/bin/env bash
# Builds the stand-ins of the cases, each a program of its own by the standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for case in */case.rs; do
    rustc --edition 2021 -O -o "bin/case-${case%%/*}" "$case"
done
