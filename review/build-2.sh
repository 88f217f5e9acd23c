#!/usr/bin/env bash
# Builds the stand-in of the scripts of the second review. It uses the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin2"
GOFLAGS=-mod=mod GOPROXY=off go build -o bin/standin2 .
