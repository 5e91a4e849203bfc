#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases beside the programs of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-lab ./review/_lab
