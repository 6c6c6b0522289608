#!/bin/sh
# Runs the case; TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-3.sh.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
exec java -cp target/review-3 RemovedRoute "$folder"
