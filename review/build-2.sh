#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases of the second review beside the programs of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-lab-2 ./review/_lab2
