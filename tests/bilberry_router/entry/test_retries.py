"""Retries replace lost answers, within the limit of all nodes."""

from .common import NAMES, Rig


def test_retries_stay_within_their_fraction_of_the_requests():
    with Rig(work_ms=0) as rig:
        rig.state.set_known_nodes(10)
        for upstream in rig.upstreams:
            upstream.faults.script = [None] * 1_000
        for index in range(60):
            rig.ask(f"/read/{index}", request_id=f"r{index}")
            for upstream in rig.state.upstreams.by_name.values():
                upstream.blocked_until_ms = 0
        extra = len(rig.ran) - 60
        assert 0 < extra <= 0.2 * 60 + 60 / 10


def served(upstream, request_id):
    return any(run.request_id == request_id for run in upstream.served_requests)


def test_answers_lost_in_a_burst_are_replaced_also_in_a_large_fleet():
    """The node's requests of the last seconds allow it, however many nodes."""
    lost = 5
    with Rig(count=1 + lost, work_ms=0) as rig:
        rig.state.set_known_nodes(195)
        for index in range(40):
            assert rig.ask("/read/x", request_id=f"r{index}").status == 200
        for index in range(lost):
            headers = [f"{NAMES.affinity}: k{index}"]
            rig.ask("/read/x", request_id=f"k{index}", headers=headers)
            first = next(u for u in rig.upstreams if served(u, f"k{index}"))
            first.faults.script = [None]
            again = rig.ask("/read/x", request_id=f"again{index}", headers=headers)
            assert again.status == 200
            assert not first.faults.script
