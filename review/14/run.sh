#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-world3 ] && [ -x target/persimmon-edge ] || exit 2
exec target/review-world3 -case drill-fence -folder review/14
