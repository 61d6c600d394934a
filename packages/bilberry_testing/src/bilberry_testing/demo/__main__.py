"""Run the demo and check every step."""

import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import gevent
from gevent import monkey
from gevent.event import Event

from bilberry_resources.codec import encode

from .deployment import CALLERS
from .steps import STEPS, Demo, apply_configuration
from .traffic import Caller
from .world import DemoError, World


@cappa.command(name="script/demo")
@dataclass
class Command:
    """Run a store, upstreams in two regions and three nodes, and use them."""

    serve: Annotated[
        bool, cappa.Arg(long=True, help="Leave it running until interrupted.")
    ] = False
    addresses_file: Annotated[
        Path | None, cappa.Arg(long=True, help="Write the addresses as JSON.")
    ] = None


def say(text: str = "") -> None:
    """Print one line and flush the output."""
    sys.stdout.write(text + "\n")
    sys.stdout.flush()


def main() -> int:
    """Run the demo; return 0 if every check passed, else 1."""
    command = cappa.parse(Command, completion=False)
    world = World()
    stopped = Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    gevent.signal_handler(signal.SIGINT, stopped.set)
    started = time.monotonic()
    try:
        world.start()
        show_addresses(world)
        if command.serve:
            serve(world, command, stopped)
        else:
            write_addresses(world, command)
            run_steps(world)
            say(f"All checks passed in {time.monotonic() - started:.1f} s.")
        return 0
    except DemoError as error:
        say(f"FAILED: {error}")
        say(f"Logs are in {world.directory}")
        return 1
    finally:
        world.close()


def run_steps(world: World) -> None:
    """Run each step and print its result lines."""
    callers = {
        region: Caller(world.nodes, "suivi", sources)
        for region, sources in CALLERS.items()
    }
    demo = Demo(world, callers)
    try:
        for number, (title, step) in enumerate(STEPS.items(), 1):
            say(f"\n{number}. {title}")
            for line in step(demo):
                say(f"   {line}")
    finally:
        for caller in callers.values():
            caller.close()


def serve(world: World, command: Command, stopped: Event) -> None:
    """Apply the configuration and serve until interrupted."""
    apply_configuration(Demo(world, {}))
    write_addresses(world, command)
    say("Ready. Press Ctrl-C to stop.")
    stopped.wait()


def show_addresses(world: World) -> None:
    """Print the URLs of all processes."""
    addresses = world.addresses()
    say(f"store     {addresses.store}")
    for node in addresses.nodes:
        say(f"node      {node.url}  admin {node.admin_url}  {node.name}")
    for upstream in addresses.upstreams:
        say(f"upstream  {upstream.url}  {upstream.name}")


def write_addresses(world: World, command: Command) -> None:
    """Write the addresses to the requested file, atomically."""
    if command.addresses_file is None:
        return
    partial = command.addresses_file.with_suffix(".partial")
    partial.write_bytes(encode(world.addresses()))
    partial.replace(command.addresses_file)


if __name__ == "__main__":
    monkey.patch_all()
    sys.exit(main())
