#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, after the build of the deploy file. They lie
# behind a build tag, so that neither CI nor the default test run builds them.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -tags review -o target/review-stand ./review/stand
