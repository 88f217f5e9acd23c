#!/usr/bin/env bash
# Checks format, vet and staticcheck with the tools pinned in tools/go.mod.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
gofumpt() { (cd "$root/tools" && go build -o "$root/bin/tools/gofumpt" mvdan.cc/gofumpt) && "$root/bin/tools/gofumpt" "$@"; }
staticcheck() { (cd "$root/tools" && go build -o "$root/bin/tools/staticcheck" honnef.co/go/tools/cmd/staticcheck) && "$root/bin/tools/staticcheck" "$@"; }
unformatted=$(gofumpt -l $(git ls-files --cached --others --exclude-standard '*.go'))
if [ -n "$unformatted" ]; then
  printf 'not formatted with gofumpt:\n%s\n' "$unformatted" >&2
  exit 1
fi
go vet ./...
staticcheck ./...
