#!/usr/bin/env bash
# Compiles the stand-ins of the cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac --release 17 -d target/review review/src/test/java/*.java
