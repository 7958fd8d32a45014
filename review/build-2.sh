#!/usr/bin/env bash
# Builds the stand-ins of cases 4 and later: workers, clients, the operator and proxies, in one program. It
# needs no network. The project's own programs come from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS= go build -o ../../target/review-2-cases .
