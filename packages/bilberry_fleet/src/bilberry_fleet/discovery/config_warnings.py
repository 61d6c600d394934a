"""Log what a check of the installed configuration finds."""

import logging
from collections.abc import Callable, Iterator
from itertools import chain

import gevent
from gevent import Greenlet

from bilberry_resources.routing import ConfigProblem, RoutingConfig
from bilberry_resources.routing_checks import CHECKS, CheckInput
from bilberry_resources.routing_checks.model import DEFAULT_RETRY_SHARE

_LOGGER = logging.getLogger(__name__)

MAX_LOGGED_PROBLEMS = 20


class ConfigWarnings:
    """Check each installed version once, and log at most 20 problems of it.

    Upstreams come and go, so that checks that need their regions and slots
    are left to `bilberryctl check`. `retry_share` returns the share of retries
    that this deployment allows.
    """

    __slots__ = ("greenlet", "retry_share")

    def __init__(self) -> None:
        self.retry_share: Callable[[], float] = lambda: DEFAULT_RETRY_SHARE
        self.greenlet: Greenlet | None = None

    def start(self, config: RoutingConfig) -> None:
        """Check a version in a greenlet of its own, in place of the last."""
        self.close()
        self.greenlet = gevent.spawn(self.run, config)

    def close(self) -> None:
        """Stop the check in progress."""
        if self.greenlet is not None:
            self.greenlet.kill(block=False)
            self.greenlet = None

    def run(self, config: RoutingConfig) -> None:
        """Log the problems of a version."""
        count = 0
        for problem in chain(config.problems, self.find(config)):
            count += 1
            if count <= MAX_LOGGED_PROBLEMS:
                _LOGGER.warning("discovery: Version %s, %s.", config.version, problem)
        if count > MAX_LOGGED_PROBLEMS:
            _LOGGER.warning(
                "discovery: Version %s has %s more problems.",
                config.version,
                count - MAX_LOGGED_PROBLEMS,
            )

    def find(self, config: RoutingConfig) -> Iterator[ConfigProblem]:
        """Yield what the checks find, after each of which requests may run."""
        given = CheckInput(config, retry_share=self.retry_share())
        for check in CHECKS.values():
            gevent.sleep(0)
            yield from check(given)
