"""Run nodes as real processes, inject faults, and check what must hold."""

import sys
from pathlib import Path

# The adapter is run from its sources and not installed.
_ADAPTER = Path(__file__).resolve().parent.parent / "platform" / "src"
if str(_ADAPTER) not in sys.path:
    sys.path.insert(0, str(_ADAPTER))
