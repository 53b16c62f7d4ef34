#!/usr/bin/env bash
# Checks that the stand-ins of the cases 11 to 15 can be run. They are plain Python and
# need nothing but its standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/bed-3
for play in review/1[1-5]/play.py; do
    [ ! -f "$play" ] || python3 -m compileall -q "$play"
done
test -d target/deps
