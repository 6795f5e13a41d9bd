#!/usr/bin/env bash
# Builds what the scripts of the second review start: the stand-ins, which use the standard
# library and platform/stand only. They lie behind a build tag, as test files, so that neither CI
# nor the default test run builds them. The daemon is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -tags review -o target/stand-2 ./review/stand-2
