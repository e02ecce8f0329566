#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# out the disruption. Needs the build of the deploy file and review/build-2.sh.
set -u
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
cd "$here/../.." || exit 2
[ -f target/review-2/Cases.class ] && [ -f target/gateway/gateway.jar ] || exit 2
exec java -Xmx1g -cp target/review-2 Cases large-entries "$here/record.txt"
