#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start besides the program of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -buildvcs=false -o target/review2-stage ./review/testdata/second/stage
