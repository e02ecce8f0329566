#!/usr/bin/env bash
# Builds the stand-ins and the cases of the third review into target/review-3.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-3
javac -encoding UTF-8 -Xlint:all -Werror -d target/review-3 review/src-3/*.java
