"""Check a history for broken promises; each check returns what broke."""

from bisect import bisect_left
from collections.abc import Callable
from http import HTTPStatus

from bilberry_core.const import MS_PER_SECOND
from bilberry_core.registry import Registry

from .history import NOT_RUN_STATUSES, Call, ConfigVersion, History

Check = Callable[[History], list[str]]

CHECKS: Registry[str, Check] = Registry()

# Calm that a bound needs before it: nodes may still act on what was before.
SETTLE_MS = 5_000
CONFIG_LIMIT_MS = 4_000
RECOVERY_MS = 8_000
RETRY_SPAN_MS = 10_000
RETRY_FRACTION, RETRY_SLACK = 0.2, 60
LIMIT_NOTICE_MS = 4_000
LIMIT_SPAN_MS = 4_000
LIMIT_TOLERANCE, LIMIT_SLACK = 1.5, 5
MIN_RECOVERED_FRACTION = 0.9
MIN_CALLS_AFTER = 10
METHOD_ONCE = "POST"


@CHECKS.register("whole")
def check_whole_answers(history: History) -> list[str]:
    """Return successes that aren't an upstream's whole answer to that call."""
    runs = history.runs_by_id()
    broken = []
    for call in history.calls:
        if call.status != HTTPStatus.OK:
            continue
        allowed = {
            f"{run.upstream} ran {call.request_id}"
            for run in runs.get(call.request_id, [])
        }
        if call.answer_id != call.request_id:
            broken.append(f"{call.request_id} got the answer to {call.answer_id!r}")
        elif call.body.decode(errors="replace") not in allowed:
            broken.append(f"{call.request_id} got {call.body[:60]!r}")
    return broken


@CHECKS.register("once")
def check_at_most_once(history: History) -> list[str]:
    """Return requests that must run once at most, and ran more often."""
    return [
        f"{request_id} ran {len(runs)} times"
        for request_id, runs in history.runs_by_id().items()
        if runs[0].method == METHOD_ONCE and len(runs) > 1
    ]


@CHECKS.register("not-run")
def check_not_run(history: History) -> list[str]:
    """Return requests that ran though the caller was told they hadn't."""
    runs = history.runs_by_id()
    return [
        f"{call.request_id} was answered {call.status} and ran"
        for call in history.calls
        if call.method == METHOD_ONCE
        and call.status in NOT_RUN_STATUSES
        and call.request_id in runs
    ]


@CHECKS.register("asked")
def check_asked_for(history: History) -> list[str]:
    """Return runs that no caller asked for, or of another target."""
    asked = {call.request_id: (call.method, call.target) for call in history.calls}
    return [
        f"{run.request_id} ran as {run.method} {run.target}"
        for run in history.runs
        if asked.get(run.request_id) != (run.method, run.target)
    ]


@CHECKS.register("leaving")
def check_leaving(history: History) -> list[str]:
    """Return runs at upstreams that had left for longer than the limit.

    Only where nothing unplanned went on since shortly before.
    """
    broken = []
    for departure in history.departures:
        limit_ms = departure.from_ms + departure.limit_ms
        until_ms = departure.until_ms or history.ended_ms
        for run in history.runs:
            is_late = limit_ms < run.began_ms < until_ms
            if run.upstream != departure.upstream or not is_late:
                continue
            if not history.is_disturbed(departure.from_ms - SETTLE_MS, run.began_ms):
                late_ms = run.began_ms - departure.from_ms
                broken.append(f"{run.request_id} reached {run.upstream} {late_ms} late")
    return broken


@CHECKS.register("cold")
def check_cold_rates(history: History) -> list[str]:
    """Return cold upstreams that got more in some second than they bear."""
    broken = []
    for cold in history.cold_times:
        began = sorted(
            run.began_ms
            for run in history.runs
            if run.upstream == cold.upstream
            and cold.from_ms <= run.began_ms < cold.until_ms
        )
        most = _most_within(began, MS_PER_SECOND)
        if most > cold.max_per_s:
            broken.append(f"{cold.upstream} got {most} requests in a second")
    return broken


@CHECKS.register("limit")
def check_rate_limits(history: History) -> list[str]:
    """Return upstreams that got more than their limit in the calm at the end.

    The latest limit that an upstream named counts.
    """
    latest = {limit.upstream: limit for limit in history.rate_limits}
    broken = []
    for limit in latest.values():
        from_ms = max(limit.from_ms, history.calm_from_ms) + LIMIT_NOTICE_MS
        began = sorted(
            run.began_ms
            for run in history.runs
            if run.upstream == limit.upstream and run.began_ms >= from_ms
        )
        allowed = LIMIT_TOLERANCE * limit.per_s * LIMIT_SPAN_MS / MS_PER_SECOND
        most = _most_within(began, LIMIT_SPAN_MS)
        if most > allowed + LIMIT_SLACK:
            broken.append(
                f"{limit.upstream} got {most} requests in {LIMIT_SPAN_MS} ms, "
                f"limit {limit.per_s} requests/s"
            )
    return broken


@CHECKS.register("retries")
def check_retries(history: History) -> list[str]:
    """Return spans with more repeated runs than all nodes may make."""
    repeated = sorted(
        run.began_ms
        for runs in history.runs_by_id().values()
        for run in sorted(runs, key=lambda run: run.began_ms)[1:]
    )
    calls = sorted(call.sent_ms for call in history.calls)
    broken = []
    for index, from_ms in enumerate(repeated):
        until_ms = from_ms + RETRY_SPAN_MS
        count = bisect_left(repeated, until_ms) - index
        asked = bisect_left(calls, until_ms) - bisect_left(
            calls, from_ms - RETRY_SPAN_MS
        )
        if count > RETRY_FRACTION * asked + RETRY_SLACK:
            broken.append(f"{count} repeated runs and {asked} calls at {from_ms}")
    return broken[:1]


@CHECKS.register("config")
def check_configuration(history: History) -> list[str]:
    """Return calls to a path in force for long that a node didn't know.

    A version that was written during a disturbance counts once it is over.
    """
    broken = []
    for version in history.versions:
        from_ms = version.accepted_ms + CONFIG_LIMIT_MS
        for call in _calls_of(history, version):
            if call.status != HTTPStatus.NOT_FOUND or call.sent_ms < from_ms:
                continue
            calm_from_ms = call.sent_ms - SETTLE_MS
            if not history.is_disturbed(calm_from_ms, call.ended_ms):
                broken.append(f"{call.request_id}: {call.node} lacks {version.prefix}")
    return broken


@CHECKS.register("homes")
def check_homes(history: History) -> list[str]:
    """Return runs outside the home of their path, by when they began.

    A home that a version moved is still allowed until the limit.
    """
    broken = []
    for run in history.runs:
        homes = history.homes(run.target, run.began_ms - CONFIG_LIMIT_MS, run.began_ms)
        region = history.upstream_times[run.upstream].region if homes else ""
        if region in homes or not homes:
            continue
        if not history.is_disturbed(run.began_ms - SETTLE_MS, run.began_ms):
            since_ms = max(
                version.accepted_ms
                for version in history.versions
                if version.accepted_ms <= run.began_ms
            )
            broken.append(
                f"{run.request_id} reached {run.upstream} in {region}, "
                f"{run.began_ms - since_ms} ms after its home was {min(homes)}"
            )
    return broken


@CHECKS.register("never-back")
def check_never_back(history: History) -> list[str]:
    """Return nodes that forgot a configuration they had served."""
    broken = []
    for version in history.versions:
        served: dict[str, int] = {}
        for call in _calls_of(history, version):
            known_ms = served.get(call.node)
            if call.status == HTTPStatus.OK:
                served.setdefault(call.node, call.ended_ms)
            elif (
                call.status == HTTPStatus.NOT_FOUND
                and known_ms is not None
                and call.sent_ms > known_ms
                and not _was_restarted(history, call.node, known_ms, call.ended_ms)
            ):
                broken.append(f"{call.request_id}: {call.node} lost {version.prefix}")
    return broken


@CHECKS.register("cut")
def check_planned_stops(history: History) -> list[str]:
    """Return requests that a planned stop cut off while they ran."""
    runs = history.runs_by_id()
    return [
        f"{call.request_id} at {call.node} ran and was cut off"
        for call in history.calls
        if call.closed
        and call.request_id in runs
        and not history.is_disturbed(call.sent_ms - SETTLE_MS, call.ended_ms)
    ]


@CHECKS.register("recovery")
def check_recovery(history: History) -> list[str]:
    """Return whether too few calls are served long after the last fault.

    A refusal doesn't count if the call is bound to a region without room.
    """
    from_ms = history.calm_from_ms + RECOVERY_MS
    calls = [
        call
        for call in history.calls
        if call.sent_ms >= from_ms
        and call.status != HTTPStatus.NOT_FOUND
        and not _is_refused_without_room(history, call)
    ]
    served = sum(call.status == HTTPStatus.OK for call in calls)
    if len(calls) < MIN_CALLS_AFTER:
        return [f"only {len(calls)} calls after the last fault"]
    if served < MIN_RECOVERED_FRACTION * len(calls):
        return [f"{served} of {len(calls)} calls served after the last fault"]
    return []


def broken_promises(history: History) -> list[str]:
    """Return all that broke, each with the name of its check."""
    return [
        f"{name}: {what}" for name, check in CHECKS.items() for what in check(history)
    ]


def _calls_of(history: History, version: ConfigVersion) -> list[Call]:
    """Return the calls to a version's own path while it was in force."""
    until_ms = version.until_ms or history.ended_ms
    found = [
        call
        for call in history.calls
        if call.target.startswith(version.prefix) and call.ended_ms < until_ms
    ]
    return sorted(found, key=lambda call: call.sent_ms)


def _is_refused_without_room(history: History, call: Call) -> bool:
    """Return whether a call was refused, and its home has no open upstream.

    One that names a rate limit may have no room.
    """
    if call.status != HTTPStatus.SERVICE_UNAVAILABLE:
        return False
    limited = {limit.upstream for limit in history.rate_limits}
    open_regions = {
        time.region
        for name, time in history.upstream_times.items()
        if name not in limited and time.until_ms is None
    }
    homes = history.homes(call.target, call.sent_ms - CONFIG_LIMIT_MS, call.ended_ms)
    return not homes <= open_regions


def _most_within(times: list[int], span_ms: int) -> int:
    """Return the largest number of sorted times within a span."""
    return max(
        (bisect_left(times, start + span_ms) - i for i, start in enumerate(times)),
        default=0,
    )


def _was_restarted(history: History, node: str, from_ms: int, until_ms: int) -> bool:
    return any(
        disturbance.node == node and disturbance.overlaps(from_ms, until_ms)
        for disturbance in history.disturbances
    )
