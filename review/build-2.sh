#!/bin/sh
# Compiles the stand-ins of the scripts, with the libraries that the build of the deploy
# file has left in target/lib. Run in the repository after that build.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac --release 17 -cp 'target/lib/*' -d target/review-2 review/lab-2/*.java
