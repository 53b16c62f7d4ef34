#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: plain Python of the standard library, so
# that only their syntax is checked. The nodes are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q review
[ -d target/deps ] || { echo "target/deps is missing: run the build of the deploy file"; exit 1; }
