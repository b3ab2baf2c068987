#!/usr/bin/env bash
# Runs the case lender; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/quetzaldock ] && [ -x target/review-2/cases ] || exit 2
exec target/review-2/cases lender "review/9/record.txt"
