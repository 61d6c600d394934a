import pytest

from bench.balance import measure
from bench.balance_keys import measure_owner
from bench.balance_model import CASES, SERVICES, make_requests
from bench.balance_options import OPTIONS
from bench.balance_sim import Simulation

HANDOVER = next(size for size in SERVICES if size.name == "handover")
CASE_80 = next(case for case in CASES if case.name == "80%")


@pytest.mark.parametrize("option", OPTIONS)
def test_every_option_ends_all_it_admits(option):
    simulation = Simulation(HANDOVER, CASE_80)
    requests = make_requests(HANDOVER, CASE_80, 300, seed=1)
    router = OPTIONS[option](simulation, 1)
    for request in requests:
        simulation.events.after(request.arrived_ms, router.arrive, request)
    simulation.events.run_all()
    assert all(server.busy == 0 and not server.queue for server in simulation.servers)
    in_time = [r for r in requests if r.done_ms and r.done_ms <= r.deadline_ms]
    assert len(in_time) > 0.8 * len(requests)


def test_strict_quotas_never_fill_an_endpoint_beyond_its_slots():
    assert measure("quota", HANDOVER, CASE_80, 1_000, 1).over <= 1


def test_the_default_is_faster_than_a_random_choice():
    chosen = measure("soft_quota", HANDOVER, CASE_80, 2_000, 1)
    assert chosen.p99_ms < measure("random", HANDOVER, CASE_80, 2_000, 1).p99_ms


def test_owner_nodes_take_bookings_through_a_crash_and_an_outage():
    counts = measure_owner(seed=1)
    assert counts.ran > 0.97 * counts.total
