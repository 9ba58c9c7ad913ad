#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/review-3, with the JDK alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -nowarn -d target/review-3 review/stand-3/*.java
