#!/usr/bin/env bash
# Build the stand-ins that the scripts of review/6 to review/10 start.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins_2 review/6 review/7 review/8 review/9 review/10
