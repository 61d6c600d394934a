#!/usr/bin/env bash
# Compile the stand-ins; they need nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile standins.py */case.py
