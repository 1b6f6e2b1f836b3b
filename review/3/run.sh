#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out. What was
# sent, answered and run stands in record.txt. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")" || exit 2
case_folder=$(pwd)
case_number=$(basename "$case_folder")
cd ../.. || exit 2
RUN_COMMAND=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
export RUN_COMMAND
# The time-out also ends the processes that the case started, which are in its process group.
timeout -k 5 110 "review/bin/case-$case_number" "$case_folder"
status=$?
case $status in
  0 | 1) exit "$status" ;;
  *) exit 2 ;;
esac
