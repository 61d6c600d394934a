"""A node installs the newest configuration that it can read."""

from bilberry_core.outcome import Failure, Success
from bilberry_fleet.discovery.config import ConfigListener
from bilberry_fleet.discovery.source import Change, Changes, Record
from bilberry_resources.routing import CallerLimits, RoutingConfig


class ConfigRig:
    """A listener whose decoder can't read the versions in `unreadable`."""

    def __init__(self, unreadable=()):
        self.unreadable = unreadable
        self.decoded = []
        self.installed = []
        self.listener = ConfigListener("main", self.decode, self.install)

    def decode(self, record):
        self.decoded.append(record.revision)
        if record.revision in self.unreadable:
            return Failure("unreadable")
        return Success(RoutingConfig(record.revision, (), {}, CallerLimits()))

    def install(self, config):
        self.installed.append(config.version)
        return True


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
