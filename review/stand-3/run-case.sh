#!/usr/bin/env bash
# Runs a case of the third review: run-case.sh CLASS FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
top=$(cd "$(dirname "$0")/../.." && pwd)
folder=$(cd "$2" && pwd)
if [ ! -f "$top/target/lycheemount.jar" ] || [ ! -d "$top/target/review-3" ]; then
    echo "run deploy/build and review/build-3.sh first"
    exit 2
fi
# TROUBLE=0 leaves out the disruption; the stand-ins read the variable.
export TROUBLE=${TROUBLE:-1}
# The descriptors of a machine of the small deployment.
ulimit -n 4100 2>/dev/null || true
exec java -Xmx512m -cp "$top/target/review-3" -Drepository="$top" -Dfolder="$folder" "$1"
