#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 11 to 15 start. Run it after the build of the
# deploy file. They lie behind a build tag, as test files, so that neither CI nor the default test run
# builds them.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -tags review -o target/stand-3 ./review/stand-3
