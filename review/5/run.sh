#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. Needs the build of deploy/system.toml and review/build.sh.
set -u
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
if [ ! -f target/review/review/LateOrder.class ] || [ ! -f target/platform/cassiastack.jar ]; then
  echo "build the project and run review/build.sh first"
  exit 2
fi
exec java -Xmx256m -Dsun.net.httpserver.nodelay=true \
  -Djdk.httpclient.allowRestrictedHeaders=host \
  -cp 'target/review:target/platform/*' review.LateOrder review/5
