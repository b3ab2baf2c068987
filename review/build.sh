#!/usr/bin/env bash
# Builds the stand-ins and the cases of the scripts. It needs no network.
set -euo pipefail
cd "$(dirname "$0")"
go build -buildvcs=false -o bin/ ./cmd/...
