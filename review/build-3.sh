#!/usr/bin/env bash
# Builds the stand-ins of the cases review/11 to review/15 into target/review-3; uses nothing but the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
cp review/standins-3/names.properties target/review-3/
javac -d target/review-3 review/standins-3/*.java
