#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review-2, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
cp review/standins-2/names.properties target/review-2/
javac -cp target/knapweedmount.jar -d target/review-2 review/standins-2/*.java
