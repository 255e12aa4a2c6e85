#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -buildvcs=false -o target/review/rig ./review/testdata/rig
