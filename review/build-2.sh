#!/usr/bin/env bash
# Builds the stand-ins and the players of the cases 6 to 10 into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac --release 17 -nowarn -d target/review-2 review/second/src/test/java/review2/*.java
