#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/second"
mkdir -p ../../target/review-2
go build -buildvcs=false -o ../../target/review-2/ ./cmd/...
