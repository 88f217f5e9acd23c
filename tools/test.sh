#!/usr/bin/env bash
# Runs all tests. Specs listed in KNOWN-RED.txt are skipped in the main run, then
# run separately and printed; their failure does not fail this script.
#
# An entry of KNOWN-RED.txt begins with a line "PACKAGE: text of the spec"; the
# indented lines below it say what was seen. An entry that does not match
# exactly one spec of its package fails the run.
#
# Packages that measure the memory of processes run alone, after the others.
set -euo pipefail
cd "$(dirname "$0")/.."
list=KNOWN-RED.txt
entries=$(if [ -f "$list" ]; then grep -vE '^([[:space:]]|#|$)' "$list" || true; fi)

# pattern reads entries and prints a regular expression that matches their spec
# texts, but not longer texts that begin with one of them. Other words may precede
# the text, since ginkgo matches the suite name and the spec text together.
pattern() {
  printf '(^| )(%s)$' "$(sed -e 's/^[^:]*: //' -e 's/[][\.*^$+?(){}|]/\\&/g' | paste -sd'|')"
}

module=$(go list -m)
alone=$module/test/clients
listed=$(if [ -n "$entries" ]; then sed "s|:.*||; s|^|$module/|" <<<"$entries" | sort -u; fi)
for package in $listed; do
  go list "$package" >/dev/null # fails the run when the package does not exist
done
verdict=0
output=$(mktemp -d)
trap 'rm -r "$output"' EXIT

# skipped prints a regular expression for the listed specs of a package.
skipped() { grep "^${1#"$module/"}: " <<<"$entries" | pattern; }

# Packages with listed specs run in parallel with the others, as in one go test.
runs=()
for package in $listed; do
  [ "$package" != "$alone" ] || continue
  skip=$(skipped "$package")
  go test -count=1 "$package" -args -ginkgo.skip="$skip" >"$output/${package//\//-}" 2>&1 &
  runs+=("$!")
done
others=$(go list ./... | grep -vxF "${listed:-none}" | grep -vxF "$alone")
go test -count=1 $others || verdict=1
for run in "${runs[@]}"; do
  wait "$run" || verdict=1
done
[ ${#runs[@]} -eq 0 ] || cat "$output"/*
if grep -qxF "$alone" <<<"$listed"; then
  go test -count=1 "$alone" -args -ginkgo.skip="$(skipped "$alone")" || verdict=1
else
  go test -count=1 "$alone" || verdict=1
fi

while IFS= read -r entry; do
  [ -n "$entry" ] || continue
  package=$module/${entry%%: *}
  focus=$(pattern <<<"$entry")
  echo "known red: $entry"
  specs=$(go test -count=1 -v "$package" -args -ginkgo.focus="$focus" -ginkgo.dry-run -ginkgo.no-color 2>&1 || true)
  if ! grep -q '^Ran 1 of ' <<<"$specs"; then
    echo "known red: the entry does not match exactly one spec" >&2
    verdict=1
  elif ! go test -count=1 "$package" -args -ginkgo.focus="$focus"; then
    echo "known red: failed, as listed"
  fi
done <<<"$entries"
exit "$verdict"
