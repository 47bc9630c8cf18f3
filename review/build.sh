#!/usr/bin/env bash
# Builds the cases' programs: each holds the stand-ins that its script starts. Run after the build of the deploy file; needs no network
# once the modules of go.mod are there.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
CGO_ENABLED=1 go build -buildvcs=false -o review/bin/ ./review/cases/...
