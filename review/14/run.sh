#!/usr/bin/env bash
# Longer heads after a change of the configuration; see claim.txt. TROUBLE=0 leaves the changes out.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
exec timeout -k 5 118 java -Xmx512m -cp target/review-3 review3.Cases raised-head-limit review/14/record.txt
