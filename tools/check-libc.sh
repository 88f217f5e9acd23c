#!/usr/bin/env bash
# Fails unless every program in bin/ is linked to the C library dynamically.
set -euo pipefail
cd "$(dirname "$0")/.."
for program in bin/*; do
  [ -f "$program" ] || continue
  # No pipe into grep -q: it exits at the first match, and then ldd sometimes fails
  # on the closed pipe (pipefail).
  libraries=$(ldd "$program")
  [[ "$libraries" == *libc.so* ]] || { echo "$program is not linked to libc" >&2; exit 1; }
done
