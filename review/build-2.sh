#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review. They need a JDK and no libraries.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -Xlint:all -d target/review-2 review/harness/*.java
