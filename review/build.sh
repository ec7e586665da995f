#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases under review/. The program under test is
# built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/driver ./review/driver
