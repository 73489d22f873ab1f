#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
# Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in target/review-2/play target/release/spanspur; do
  [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
exec target/review-2/play reopen review/10
