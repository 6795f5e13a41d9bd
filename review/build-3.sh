#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 11 to 15 start. Run it after the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/stand-3 ./review/stand-3
