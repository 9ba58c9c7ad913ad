#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
# Writes what was sent, answered and run to record.txt in this folder.
cd "$(dirname "$0")/../.."
exec java -Xmx2g -Drecord=review/4/record.txt -cp review/target Case4
