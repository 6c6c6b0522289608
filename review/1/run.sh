#!/bin/bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption. Build first: deploy/system.toml, review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 3 117 java -Xmx256m -cp 'target/review:target/lib/*' QuickRestart review/1
status=$?
case $status in 0) exit 0 ;; 11) exit 1 ;; *) exit 2 ;; esac
