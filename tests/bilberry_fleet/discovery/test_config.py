"""A node installs the newest configuration that it can read."""

import gevent

from bilberry_core.outcome import Failure, Success
from bilberry_fleet.discovery import config_warnings
from bilberry_fleet.discovery.config import ConfigListener
from bilberry_fleet.discovery.source import Change, Changes, Record
from bilberry_resources.routing import (
    CallerLimits,
    RouteRule,
    RoutingConfig,
    WeightedService,
)
from bilberry_resources.routing_checks import CHECKS


def route(name):
    services = (WeightedService("s", 1),)
    return RouteRule(name, "a.example", "/", True, services, 2_000, 500, 2)


class CountingHub:
    """Count how often a check lets other greenlets run."""

    def __init__(self, turns):
        self.turns = turns

    def sleep(self, seconds):
        self.turns.append(seconds)


class ConfigRig:
    """A listener whose decoder can't read the versions in `unreadable`."""

    def __init__(self, unreadable=()):
        self.unreadable = unreadable
        self.decoded = []
        self.installed = []
        self.routes = ()
        self.is_newer = True
        self.listener = ConfigListener("main", self.decode, self.install)

    def decode(self, record):
        self.decoded.append(record.revision)
        if record.revision in self.unreadable:
            return Failure("unreadable")
        return Success(RoutingConfig(record.revision, self.routes, {}, CallerLimits()))

    def install(self, config):
        self.installed.append(config.version)
        return self.is_newer


def versions(*revisions):
    return Changes([Change(Record("main", r, {}), False) for r in revisions], 99)


def test_of_several_versions_only_the_newest_is_installed():
    rig = ConfigRig()
    rig.listener.on_changes(versions(3, 4, 5))
    assert (rig.decoded, rig.installed) == ([5], [5])


def test_an_unreadable_version_leaves_the_one_before_it_in_force():
    rig = ConfigRig(unreadable=(5,))
    rig.listener.on_changes(versions(3, 4, 5))
    assert (rig.decoded, rig.installed) == ([5, 4], [4])


def test_a_removed_configuration_stays_in_force():
    rig = ConfigRig()
    removed = Changes([Change(Record("main", 6, {}), True)], 99)
    assert rig.listener.on_changes(removed)
    assert rig.decoded == []


def test_each_version_is_checked_once_after_its_install(caplog):
    """Guards against warnings at each read, and a check before the install."""
    rig = ConfigRig()
    rig.routes = (route("a"), route("b"))
    rig.listener.on_changes(versions(3))
    assert "route" not in caplog.text
    rig.listener.warnings.greenlet.join()
    rig.is_newer = False
    rig.listener.on_changes(versions(3))
    rig.listener.warnings.greenlet.join()
    assert [text for text in caplog.messages if "Version 3" in text] == [
        "discovery: Version 3, routes a: never matches, as route b has the same "
        "host and path prefix a.example/."
    ]


def test_the_warnings_of_a_version_are_bounded(caplog):
    """Guards against a flood of lines by one configuration."""
    rig = ConfigRig()
    rig.routes = tuple(route(str(number)) for number in range(31))
    rig.listener.on_changes(versions(3))
    rig.listener.warnings.greenlet.join()
    lines = [text for text in caplog.messages if "Version 3" in text]
    assert len(lines) == 21
    assert lines[-1] == "discovery: Version 3 has 10 more problems."


def test_requests_run_between_the_checks_of_a_version(monkeypatch):
    """Guards against one long pause for all requests of a node."""
    rig = ConfigRig()
    turns = []
    monkeypatch.setattr(config_warnings, "gevent", CountingHub(turns))
    found = list(rig.listener.warnings.find(RoutingConfig(1, (route("a"),))))
    assert found == []
    assert len(turns) == len(CHECKS)


def test_a_newer_version_ends_the_check_of_the_last(caplog):
    """Guards against warnings about a version that is no longer in force."""
    rig = ConfigRig()
    rig.routes = (route("a"), route("b"))
    rig.listener.on_changes(versions(3))
    first = rig.listener.warnings.greenlet
    rig.listener.on_changes(versions(4))
    gevent.joinall([first, rig.listener.warnings.greenlet])
    assert "Version 3," not in caplog.text
    assert "Version 4," in caplog.text
