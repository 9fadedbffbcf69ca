#!/usr/bin/env bash
# Carries the write of a job out late, after the job was cancelled. Exits with 1 if the rule was broken, 0 if it held and 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/stand3 ] && [ -x target/daisynode ] || exit 2
# TROUBLE=0 leaves the disruption out.
trouble=trouble
[ "${TROUBLE:-1}" = 0 ] && trouble=calm
exec target/stand3 cancel review/14/record.txt "$trouble"
