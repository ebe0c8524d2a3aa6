#!/usr/bin/env bash
# Builds the stand-ins that the cases start. Needs the build of deploy/system.toml, whose libraries
# (Jackson) the stand-ins use to read and write JSON.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review
mkdir -p target/review
javac --release 17 -cp 'target/platform/*' -d target/review review/src/review/*.java
