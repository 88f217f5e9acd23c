#!/usr/bin/env bash
# Fails unless every program in bin/ is linked to the C library dynamically.
set -euo pipefail
cd "$(dirname "$0")/.."
for program in bin/*; do
  [ -f "$program" ] || continue
  # Not a pipe into grep -q: that ends ldd early, which fails the pipe now and then.
  libraries=$(ldd "$program")
  [[ "$libraries" == *libc.so* ]] || { echo "$program is not linked to libc" >&2; exit 1; }
done
