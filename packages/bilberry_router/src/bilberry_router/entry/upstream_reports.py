"""Record what upstreams say of themselves in the headers of their answers."""

import logging
from http import HTTPStatus
from typing import TypeVar

from bilberry_balance.placement.upstream import Upstream
from bilberry_core.outcome import Failure, Result

from ..http.response_parser import ResponseParser
from .log_throttle import LogThrottle
from .messages import HeaderNames
from .rate_limit_log import log_rate_limit
from .state import EntryState
from .upstream_headers import (
    LoadReport,
    UnreadableHeader,
    is_leaving,
    read_load,
    read_rate_limit,
    read_retry_after_ms,
)

_LOGGER = logging.getLogger(__name__)

T = TypeVar("T")

# An upstream may send an unreadable header with each answer.
LOG_INTERVAL_MS = 10_000
MAX_LOGGED_CHARS = 80


class UpstreamReports:
    """Apply the headers of answers to the state of their upstreams."""

    __slots__ = ("header_names", "log_throttle", "state")

    def __init__(self, state: EntryState, header_names: HeaderNames) -> None:
        self.state = state
        self.header_names = header_names
        self.log_throttle = LogThrottle(LOG_INTERVAL_MS)

    def record_load(
        self, upstream: Upstream, parser: ResponseParser
    ) -> LoadReport | None:
        """Record and return what an answer's load header tells."""
        load = self._readable(upstream, read_load(parser, self.header_names))
        if load is not None:
            now_ms = self.state.clock.now_ms()
            upstream.on_report(load.running, load.waiting, load.pace, now_ms)
        return load

    def record_directives(self, upstream: Upstream, parser: ResponseParser) -> None:
        """Record what an answer says its upstream takes from now on."""
        if parser.status == HTTPStatus.MISDIRECTED_REQUEST:
            return
        now_ms = self.state.clock.now_ms()
        limit = read_rate_limit(parser, self.header_names)
        per_s = self._readable(upstream, limit)
        if not isinstance(limit, Failure) and upstream.rate_limit.on_answer(
            per_s, now_ms
        ):
            log_rate_limit(upstream, "its answer")
        if is_leaving(parser, self.header_names) and not upstream.leaving:
            self.state.record_leaving(upstream)
            _LOGGER.info("entry: Upstream %s says that it is leaving.", upstream.name)
        retry_after_ms = self._readable(upstream, read_retry_after_ms(parser))
        if retry_after_ms is not None:
            upstream.on_retry_after(retry_after_ms, now_ms)
            _LOGGER.info(
                "entry: Upstream %s wants nothing for %d ms.",
                upstream.name,
                retry_after_ms,
            )

    def _readable(
        self, upstream: Upstream, read: Result[T | None, UnreadableHeader]
    ) -> T | None:
        """Return what was read; count and log a header that can't be."""
        if not isinstance(read, Failure):
            return read.unwrap()
        header = read.failure()
        self.state.counts.unreadable_headers[header.name] += 1
        left_out = self.log_throttle.admit(header.name, self.state.clock.now_ms())
        if left_out is not None:
            _LOGGER.warning(
                "entry: Invalid header of upstream %s: %s: %r; %d more left out "
                "since the last such line.",
                upstream.name,
                header.name,
                header.text[:MAX_LOGGED_CHARS],
                left_out,
            )
        return None
