#!/usr/bin/env bash
# Builds the stand-in that the scripts of the review start, into review/bin/. It needs
# Go only: no module outside the standard library, and no network.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOPROXY=off go build -o ../bin/standin .
