#!/usr/bin/env bash
# Build the stand-ins of cases 11 to 15. They need Python 3.11 and its standard
# library only, so that compiling them is all there is to do.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins_3 review/1[1-5]
