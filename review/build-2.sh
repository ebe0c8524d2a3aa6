#!/usr/bin/env bash
# Compiles the stand-ins that the scripts of review/6 to review/10 start, into target/review-2. Needs
# only the Java development kit.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -d target/review-2 review/stand-ins/review2/*.java
