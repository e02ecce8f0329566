#!/usr/bin/env bash
# Runs the case; needs the build of the deploy file and review/build.sh.
folder=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
cd "$folder/../.." || exit 2
[ -f target/review/LostStreamsCase.class ] && [ -f target/gateway/gateway.jar ] || exit 2
exec java -cp target/review LostStreamsCase "$folder"
