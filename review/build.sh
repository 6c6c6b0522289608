#!/bin/bash
# Builds the stand-ins that the scripts of the review start, into target/review.
# Needs the build of deploy/system.toml first: its JSON library lies in target/lib.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review -cp 'target/lib/*' review/standin/*.java
