#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Writes what was sent, answered and run to record.txt in this folder.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx128m -cp target/review-2 review2.RollingStopCase review/6/record.txt
