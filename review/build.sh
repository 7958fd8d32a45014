#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/. It needs only Go's standard library.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review-standin .
