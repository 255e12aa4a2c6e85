#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 11 to 15 start. The node itself is built by
# the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -buildvcs=false -o target/review-3/ ./review/testdata/fleet3
