#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3, with the JDK alone.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac --release 17 -d target/review-3 review/src-3/review3/*.java
