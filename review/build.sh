#!/usr/bin/env bash
# Builds the stand-ins and the cases. Needs the build of the deploy file only to run them.
set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
mkdir -p "$root/target/review"
javac --release 17 -d "$root/target/review" "$root"/review/src/*.java
