#!/usr/bin/env bash
# Checks the stand-ins of the second review and compiles them. They use the standard
# library only, so that nothing is installed.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins2
PYTHONPATH=. python3 -c "import standins2.deployment"
