#!/bin/sh
# See claim.txt. TROUBLE=0 leaves the disruption out. Needs the build of deploy/balancer.toml and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/rig ] || { echo "run review/build-2.sh first"; exit 2; }
exec target/review-2/rig hanging-plugin review/9/record.txt
