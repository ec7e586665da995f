#!/usr/bin/env bash
# Builds what the scripts of the second review start, beside the build of the deploy file: one
# program with the stand-ins of the store, the targets and the callers.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./review/stage2
