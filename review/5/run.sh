#!/usr/bin/env bash
# Plays the case against target/teasel-sidecar, after review/build.sh. Exit code: 1 the
# rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/teasel-sidecar ] && [ -x review/bin/standin ] || { echo "not built" >&2; exit 2; }
exec timeout -k 5 115 review/bin/standin lost target/teasel-sidecar "$here"
