#!/bin/sh
# Plays the case against target/waxwing-entry. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/waxwing-entry ] && [ -x target/review3/cases3 ] || exit 2
exec target/review3/cases3 -case report -record review/15/record.txt
