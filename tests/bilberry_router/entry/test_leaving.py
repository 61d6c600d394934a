"""An upstream that says that it is leaving gets no more requests."""

import pytest

from .common import NAMES, Rig, eventually

LEAVING = [f"{NAMES.leaving}: 1"]


@pytest.mark.parametrize("shed", [False, True])
def test_an_upstream_whose_answer_says_that_it_leaves_gets_no_more(shed):
    with Rig(count=2) as rig:
        leaving, other = rig.upstreams
        leaving.faults.extra_headers = LEAVING
        leaving.faults.shed_next = int(shed)
        rig.state.upstreams.by_name["u1"].in_flight = 2
        assert rig.ask("/read/x").status == 200
        rig.state.upstreams.by_name["u1"].in_flight = 0
        ran_before = len(leaving.served_requests)
        for index in range(10):
            assert rig.ask(f"/read/{index}", request_id=f"a{index}").status == 200
        assert len(leaving.served_requests) == ran_before
        assert len(other.served_requests) >= 10


def test_a_renewed_entry_does_not_bring_a_leaving_upstream_back():
    with Rig(count=1) as rig:
        rig.upstreams[0].faults.extra_headers = LEAVING
        assert rig.ask("/read/x").status == 200
        rig.register(rig.upstreams[0])
        assert rig.ask("/read/y", request_id="r2").status == 503
        assert len(rig.ran) == 1


def test_a_renewed_entry_does_not_bring_a_replaced_upstream_back():
    with Rig(count=1) as rig:
        rig.upstreams[0].name = "another"
        assert rig.ask("/read/x").status == 503
        rig.upstreams[0].name = "u0"
        rig.register(rig.upstreams[0])
        assert not rig.state.upstreams.accepts_requests(
            rig.state.upstreams.by_name["u0"]
        )


def test_a_new_incarnation_of_a_leaving_upstream_is_used():
    with Rig(count=1) as rig:
        rig.upstreams[0].faults.extra_headers = LEAVING
        assert rig.ask("/read/x").status == 200
        rig.state.upstreams.remove("u0")
        rig.upstreams[0].faults.extra_headers = []
        rig.register(rig.upstreams[0])
        assert rig.ask("/read/y", request_id="r2").status == 200


def test_a_queued_request_is_not_sent_to_an_upstream_that_leaves_meanwhile():
    with Rig(count=1, slots=1) as rig:
        rig.upstreams[0].faults.extra_headers = LEAVING
        release = rig.hold()
        first, second = rig.client(), rig.client()
        first.send("/read/x")
        eventually(lambda: rig.ran)
        second.send("/read/y", request_id="r2")
        eventually(lambda: rig.queued)
        release.set()
        assert first.answer().status == 200
        assert second.answer().status == 503
        assert len(rig.ran) == 1


def test_an_upstream_that_leaves_loses_its_rank_before_its_entry_says_so():
    """Guard against keys that stay without a first-ranked upstream."""
    with Rig(count=2) as rig:
        rig.upstreams[0].faults.extra_headers = LEAVING
        ranks = rig.state.selector.ranks
        assert ranks.for_key("s", "k").ranks.keys() == {"u0", "u1"}
        rig.state.upstreams.by_name["u1"].in_flight = 2
        assert rig.ask("/read/x").status == 200
        assert ranks.for_key("s", "k").ranks == {"u1": 0}


def test_upstreams_of_an_evacuated_domain_have_no_rank_at_a_node():
    """Guard against a node that ranks what it may not use."""
    with Rig(count=1) as rig:
        rig.state.upstreams.evacuate(frozenset({"mtl-a"}))
        rig.state.selector.ranks.clear()
        places = rig.state.selector.ranks.for_key("s", "k")
        assert places.ranks == {}
        assert places.regions == {"mtl"}
