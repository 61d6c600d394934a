"""Runs beside each other never meet."""

import os

from soak import loopback
from soak.loopback import LoopbackNetwork


def test_runs_of_processes_whose_ids_look_alike_get_networks_of_their_own(monkeypatch):
    monkeypatch.setattr(os, "getpid", lambda: 37 + loopback.NETWORKS)
    first = LoopbackNetwork()
    second = LoopbackNetwork()
    numbers = {first.number, second.number}
    first.close()
    third = LoopbackNetwork()
    second.close()
    third.close()
    assert len(numbers) == 2
    assert third.number == first.number
