#!/bin/sh
# Runs the case; see claim.txt. With TROUBLE=0 it runs without the disruption. Needs the build of the deploy file and
# of review/build.sh. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
[ -e ../1/standins/target/ResetWhileSending.class ] || exit 2
exec java -Xmx512m -cp ../1/standins/target ResetWhileSending .
