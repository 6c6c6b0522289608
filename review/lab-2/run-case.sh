#!/bin/sh
# Runs a case: its name and the folder for its record. The repository and the stand-ins
# must be built. Ends with 1 if the rule was broken, 0 if it held, and 2 if the case could
# not run.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 5 115 java -Xmx512m -Djdk.httpclient.allowRestrictedHeaders=host \
	-cp 'target/review-2:target/lib/*' Main "$1" "$2"
case $? in
	0) exit 0 ;;
	10) exit 1 ;;
	*) exit 2 ;;
esac
