#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/standins-2"
rm -rf target && mkdir target
javac -d target src/*.java
