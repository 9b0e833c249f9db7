#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. The program itself is built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
rm -rf target
mkdir target
javac --release 17 -encoding UTF-8 -Xlint:all -d target src/*.java
