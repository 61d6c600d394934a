"""Run one seed; exit with 1 if a promise broke."""

import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import gevent

from .run import FULL_SIZE, LARGE_SIZE, QUICK_SIZE, SoakRun

EXIT_BROKEN_PROMISE = 1


@cappa.command(name="python -m soak")
@dataclass
class Soak:
    """Run nodes under drawn faults, and check what callers were promised."""

    seed: Annotated[int, cappa.Arg(long=True, help="Seed of the faults.")] = 1
    quick: Annotated[bool, cappa.Arg(long=True, help="A short, small run.")] = False
    large: Annotated[bool, cappa.Arg(long=True, help="Over 100 processes.")] = False
    logs: Annotated[
        Path | None, cappa.Arg(long=True, help="Directory for settings and logs.")
    ] = None


def main() -> int:
    """Run the seed of the command line and print what happened."""
    command = cappa.parse(Soak)
    size = LARGE_SIZE if command.large else FULL_SIZE
    if command.quick:
        size = QUICK_SIZE
    with tempfile.TemporaryDirectory() as made:
        directory = command.logs or Path(made)
        directory.mkdir(parents=True, exist_ok=True)
        run = SoakRun(command.seed, size, directory)
        broken = gevent.spawn(run.play).get()
    for fault in run.schedule:
        print(f"{fault.at_ms:6} ms {fault.kind} for {fault.duration_ms} ms")
    for promise in broken:
        print(f"BROKEN: {promise}")
    print(run.summary(broken))
    return EXIT_BROKEN_PROMISE if broken else 0


if __name__ == "__main__":
    sys.exit(main())
