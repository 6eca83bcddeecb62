#!/bin/sh
# Builds the stand-ins and the drivers of all cases. Needs a JDK 17 and nothing else.
set -eu
cd "$(dirname "$0")/1/standins"
mkdir -p target
javac --release 17 -Xlint:all,-try -d target src/*.java
