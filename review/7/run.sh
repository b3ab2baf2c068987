#!/usr/bin/env bash
# Runs the case late; see claim.txt. TROUBLE=0 leaves the late write out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/quetzaldock ] && [ -x target/review-2/cases ] || exit 2
exec target/review-2/cases late "review/7/record.txt"
