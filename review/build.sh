#!/bin/sh
# Compiles the stand-ins and the cases into review/target/classes; needs the JDK only.
set -e
cd "$(dirname "$0")"
rm -rf target
mkdir -p target/classes
javac --release 17 -Xlint:all -d target/classes standins/*.java [0-9]/*.java
