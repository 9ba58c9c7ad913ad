#!/usr/bin/env bash
# See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx512m -cp target/review-2 Case9
