"""Test the store client with lost responses, conflicts and outages."""

import pytest

from bilberry_core.clock import SystemClock
from bilberry_core.outcome import Failure, Success
from bilberry_resources.model import Metadata, StoredObject
from bilberry_store.client import StoreClient, StoreClientSettings
from bilberry_store.errors import StoreErrorKind

from .fake_store import FakeStore

SETTINGS = StoreClientSettings(call_timeout_ms=300, resolve_delay_ms=1)


@pytest.fixture
def store():
    fake = FakeStore()
    fake.url = fake.start()
    yield fake
    fake.close()


@pytest.fixture
def client(store):
    client = StoreClient(store.url, SystemClock(), SETTINGS)
    client.start()
    yield client
    client.close()


def make_object(name="a", write_id="", **spec):
    metadata = Metadata(name=name, write_id=write_id)
    return StoredObject(kind="site", metadata=metadata, spec=spec)


def test_put_creates_reads_and_lists(client):
    created = client.put(make_object(x=1), 0).unwrap()
    assert created.metadata.version == 1
    assert created.metadata.write_id
    assert client.get("site", "a").unwrap() == created
    assert client.list_objects("site").unwrap().items == [created]


def test_a_stale_put_gets_the_current_object(client):
    client.put(make_object(x=1), 0)
    error = client.put(make_object(x=2), 0).failure()
    assert error.kind is StoreErrorKind.CONFLICT
    assert error.current.spec == {"x": 1}


def test_a_lost_reply_is_resolved_by_reading_back(client, store):
    store.faults = ["lose"]
    created = client.put(make_object(x=1), 0).unwrap()
    assert created.spec == {"x": 1}
    assert store.calls == ["PUT", "GET"]


def test_a_lost_update_is_sent_again_under_its_condition(client, store):
    first = client.put(make_object(x=1), 0).unwrap()
    store.faults = ["drop"]
    second = client.put(make_object(x=2), first.metadata.version).unwrap()
    assert second.spec == {"x": 2}
    assert store.calls == ["PUT", "PUT", "GET", "PUT"]


def test_a_lost_create_that_is_not_there_stays_unknown(client, store):
    store.faults = ["drop"]
    error = client.put(make_object(write_id="w"), 0).failure()
    assert error.kind is StoreErrorKind.UNKNOWN
    assert error.write_id == "w"
    assert store.calls == ["PUT", "GET"]


def test_a_lost_write_that_another_replaced_stays_unknown(client, store):
    def replace():
        store.version += 1
        current = store.objects["site", "a"]
        current["metadata"].update(version=store.version, write_id="other")

    first = client.put(make_object(x=1), 0).unwrap()
    store.faults = ["lose", replace]
    error = client.put(make_object(x=2), first.metadata.version).failure()
    assert error.kind is StoreErrorKind.UNKNOWN
    assert error.current.metadata.write_id == "other"


def test_a_reply_lost_during_an_outage_is_unknown(client, store):
    store.faults = ["lose", "drop", "drop", "drop", "drop", "drop", "drop"]
    store.down = True
    error = client.put(make_object(), 0).failure()
    assert error.kind is StoreErrorKind.UNKNOWN
    assert client.stats.outage_since_ms is not None
    assert store.calls.count("PUT") == 1


def test_a_timed_out_write_is_read_back(client, store):
    store.faults = ["hang"]
    assert isinstance(client.put(make_object(x=1), 0), Success)
    assert store.calls == ["PUT", "GET"]


def test_a_refused_connection_means_not_run(client, store):
    store.close()
    error = client.put(make_object(), 0).failure()
    assert error.kind is StoreErrorKind.UNREACHABLE
    assert isinstance(client.get("site", "a"), Failure)
    assert client.stats.outages == 1


def test_delete_needs_the_version_and_resolves_a_lost_reply(client, store):
    created = client.put(make_object(x=1), 0).unwrap()
    version = created.metadata.version
    stale = client.delete("site", "a", version + 1).failure()
    assert stale.kind is StoreErrorKind.CONFLICT
    assert stale.current == created
    store.faults = ["lose"]
    assert isinstance(client.delete("site", "a", version), Success)
    assert store.calls[-3:] == ["DELETE", "DELETE", "GET"]
    gone = client.get("site", "a").failure()
    assert gone.kind is StoreErrorKind.NOT_FOUND


def test_watch_returns_changes_and_gone(client):
    client.put(make_object(x=1), 0)
    batch = client.watch("site", 0, 100).unwrap()
    assert [event.object.spec for event in batch.events] == [{"x": 1}]
    error = client.watch("site", -1, 100).failure()
    assert error.kind is StoreErrorKind.GONE


def test_the_vm_list_is_read_leniently(client):
    vms = client.list_vms().unwrap()
    assert [(vm.name, vm.state, vm.region) for vm in vms] == [("a", "live", "")]


def test_an_oversized_object_is_rejected_without_a_request(client, store):
    error = client.put(make_object(x="y" * 1_000_001), 0).failure()
    assert error.kind is StoreErrorKind.TOO_LARGE
    assert store.calls == []


def test_calls_over_the_rate_limit_are_rejected_without_a_request(store, clock):
    settings = StoreClientSettings(calls_per_s=1.0, call_burst=2)
    client = StoreClient(store.url, clock, settings)
    client.start()
    kinds = []
    for _ in range(4):
        kinds.append(client.get("site", "a").failure().kind)
    assert kinds[:2] == [StoreErrorKind.NOT_FOUND] * 2
    assert kinds[2:] == [StoreErrorKind.THROTTLED] * 2
    assert len(store.calls) == 2
    clock.advance(1_000)
    assert client.get("site", "a").failure().kind is StoreErrorKind.NOT_FOUND
    client.close()


def test_a_lost_delete_of_a_recreated_object_stays_unknown(client, store):
    def recreate():
        store.version += 1
        store.objects["site", "a"] = {
            "kind": "site",
            "metadata": {"name": "a", "version": store.version},
        }

    created = client.put(make_object(x=1), 0).unwrap()
    store.faults = ["lose", recreate]
    error = client.delete("site", "a", created.metadata.version).failure()
    assert error.kind is StoreErrorKind.UNKNOWN
    assert ("site", "a") in store.objects


def test_a_read_is_sent_at_most_twice_when_the_store_hangs_up(client, store):
    store.down = True
    assert client.get("site", "a").failure().kind is StoreErrorKind.UNREACHABLE
    assert store.calls == ["GET", "GET"]
