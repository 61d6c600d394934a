"""Fixtures for an admin application with a simulated platform."""

import pytest

from bilberry_core.clock import SystemClock
from bilberry_resources.model import Status
from bilberry_router.admin.app import AdminApp
from bilberry_router.admin.audit import AuditTask
from bilberry_router.admin.auth import Authenticator
from bilberry_router.admin.resources import ResourceService
from bilberry_router.settings import Role, TokenSettings
from bilberry_router.state import NodeState
from bilberry_store.client import StoreClient, StoreClientSettings
from bilberry_testing.platform import PlatformServer
from tests.bilberry_router.common import make_settings

from .common import AdminCaller

VIEW_TOKEN = "view-view-view-view"
OPERATE_TOKEN = "operate-operate-operate"


@pytest.fixture
def platform():
    server = PlatformServer()
    server.start()
    yield server
    server.close()


@pytest.fixture
def store(platform):
    settings = StoreClientSettings(
        call_timeout_ms=500, calls_per_s=1e6, call_burst=1_000
    )
    client = StoreClient(platform.url, SystemClock(), settings)
    client.start()
    yield client
    client.close()


@pytest.fixture
def audit(store):
    task = AuditTask(store, SystemClock(), "vm-1")
    task.start()
    yield task
    task.close()


@pytest.fixture
def tokens():
    return []


@pytest.fixture
def known_tokens():
    return [
        TokenSettings(name="viewer", token=VIEW_TOKEN),
        TokenSettings(name="operator", token=OPERATE_TOKEN, role=Role.OPERATE),
    ]


@pytest.fixture
def caller(store, audit, tokens):
    state = NodeState(make_settings(), SystemClock())
    resources = ResourceService(store, audit, state, lambda stored: Status())
    app = AdminApp(resources, audit, Authenticator(tokens), None)
    return AdminCaller(app)
