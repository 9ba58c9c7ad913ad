#!/usr/bin/env bash
# Runs the script of case $1 five times with the disruption and once without, and prints the exit codes and the last lines.
cd "$(dirname "$0")/.." || exit 2
for run in 1 2 3 4 5; do
  bash "review/$1/run.sh" >"/tmp/review-case-$1-$run.log" 2>&1
  echo "run $run: exit code $?: $(tail -60 "/tmp/review-case-$1-$run.log" | grep -m1 'allowed)')"
done
cp "review/$1/record.txt" "/tmp/review-record-$1"
TROUBLE=0 bash "review/$1/run.sh" >"/tmp/review-case-$1-calm.log" 2>&1
echo "TROUBLE=0: exit code $?: $(grep -m1 'allowed)' "/tmp/review-case-$1-calm.log")"
cp "/tmp/review-record-$1" "review/$1/record.txt"
