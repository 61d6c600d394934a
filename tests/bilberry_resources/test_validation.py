"""Test that validation reports all field errors."""

from bilberry_core.outcome import Failure
from bilberry_resources.snapshot import decode_spec


def test_all_errors_are_listed_at_once():
    result = decode_spec(
        "upstream",
        {"service": "suivi", "region": 7, "address": "nowhere", "colour": "red"},
    )
    assert isinstance(result, Failure)
    fields = {error.field for error in result.failure()}
    assert fields == {
        "spec.region",
        "spec.address",
        "spec.colour",
        "spec.failure_domain",
    }


def test_nested_paths_are_named():
    result = decode_spec("intent", {"service": "suivi", "cap": {"max_share": 2}})
    (error,) = result.failure()
    assert error.field == "spec.cap.max_share"
    assert "<= 1" in error.reason


def test_a_list_item_is_named_by_its_index():
    moves = [{"source": "mtl", "target": "qc", "share": 0}]
    result = decode_spec("intent", {"service": "suivi", "moves": moves})
    assert [e.field for e in result.failure()] == ["spec.moves[0].share"]


def test_an_unknown_kind_is_refused():
    assert decode_spec("widget", {}).failure()[0].field == "kind"
