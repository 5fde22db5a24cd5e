#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this folder start; needs only a JDK.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
mkdir -p target/classes
cp src/names.properties target/classes/
javac -nowarn -d target/classes src/*.java
