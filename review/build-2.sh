#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review into target/review-2.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
javac -Xlint:all -Werror -d target/review-2 review/src-2/*.java
