#!/bin/sh
# Runs the case; TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-3.sh.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
# The platform's processes do not inherit an ignored SIGHUP, for example from nohup.
if env --default-signal=HUP true 2> /dev/null; then
	exec env --default-signal=HUP java -cp target/review-3 HangUp "$folder"
fi
exec java -cp target/review-3 HangUp "$folder"
