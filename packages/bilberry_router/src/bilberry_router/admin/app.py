"""WSGI application for the admin address."""

import logging
from collections.abc import Callable
from typing import Any

from bilberry_core.outcome import Failure
from bilberry_core.registry import Registry
from bilberry_resources.const import MAX_OBJECT_BYTES
from bilberry_resources.snapshot import SNAPSHOT_FIELD_BY_KIND

from ..const import PATH_LOOKUP, PREFIX_API
from ..http.messages import (
    Environ,
    Response,
    json_response,
    problem_response,
    query_parameters,
    read_body,
    send_response,
)
from .audit import AuditTask
from .auth import Actor, Authenticator, check_is_operator
from .health import HealthReporter
from .resources import ResourceService, store_error_response

_LOGGER = logging.getLogger(__name__)

PATH_AUDIT = "audit"
PATH_STATUS = "status"
DEFAULT_WATCH_MS = 30_000
MAX_WATCH_MS = 60_000
MAX_ENVELOPE_BYTES = 100_000

Application = Callable[[Environ, Any], list[bytes]]
UnauthenticatedHandler = Callable[["AdminApp"], Response]

UNAUTHENTICATED_PATHS: Registry[str, UnauthenticatedHandler] = Registry()


class AdminApp:
    """Serve health, metrics and the resource API."""

    def __init__(
        self,
        resources: ResourceService,
        audit: AuditTask,
        authenticator: Authenticator,
        health: HealthReporter,
        look_up: Application | None = None,
    ) -> None:
        self.look_up = look_up
        self.resources = resources
        self.audit = audit
        self.authenticator = authenticator
        self.health = health

    def __call__(self, environ: Environ, start_response: Any) -> list[bytes]:
        """Answer one request.

        Look-ups are also served here, so that operators can test them.
        """
        if self.look_up is not None and environ["PATH_INFO"] == PATH_LOOKUP:
            return self.look_up(environ, start_response)
        return send_response(self.answer(environ), start_response)

    def answer(self, environ: Environ) -> Response:
        """Return the response to one request."""
        path: str = environ["PATH_INFO"]
        if path in UNAUTHENTICATED_PATHS:
            return UNAUTHENTICATED_PATHS[path](self)
        if not path.startswith(PREFIX_API):
            return problem_response(404, f"no path {path}")
        authenticated = self.authenticator.authenticate(environ)
        if isinstance(authenticated, Failure):
            return authenticated.failure()
        return self.answer_api(
            environ, path.removeprefix(PREFIX_API), authenticated.unwrap()
        )

    def answer_api(self, environ: Environ, path: str, actor: Actor) -> Response:
        """Return the response of the resource API."""
        method = environ["REQUEST_METHOD"]
        kind, _, name = path.strip("/").partition("/")
        if method != "GET":
            refused = check_is_operator(actor)
            if refused is not None:
                return refused
        if kind == PATH_AUDIT and method == "GET":
            return self.answer_audit(environ)
        if kind == PATH_STATUS and method == "GET":
            return json_response(200, self.health.overview())
        if kind not in SNAPSHOT_FIELD_BY_KIND:
            return problem_response(404, f"no kind {kind!r}")
        if not name:
            return self.answer_kind(environ, kind)
        return self.answer_object(environ, kind, name, actor)

    def answer_kind(self, environ: Environ, kind: str) -> Response:
        """List the objects of a kind, or watch them for changes."""
        if environ["REQUEST_METHOD"] != "GET":
            return problem_response(405, "name an object to change it")
        query = query_parameters(environ)
        if query.get("watch") != "1":
            return self.resources.list_kind(kind)
        since = _parse_whole_number(query.get("since", "0"))
        timeout_ms = _parse_whole_number(query.get("timeout_ms", str(DEFAULT_WATCH_MS)))
        if since is None or timeout_ms is None:
            return problem_response(400, "since and timeout_ms are whole numbers")
        return self.resources.watch(kind, since, min(timeout_ms, MAX_WATCH_MS))

    def answer_object(
        self, environ: Environ, kind: str, name: str, actor: Actor
    ) -> Response:
        """Read, write or delete one object."""
        method = environ["REQUEST_METHOD"]
        if method == "GET":
            return self.resources.read(kind, name)
        if method == "PUT":
            body = read_body(environ, MAX_OBJECT_BYTES + MAX_ENVELOPE_BYTES)
            if body is None:
                return problem_response(413, f"over {MAX_OBJECT_BYTES} bytes")
            return self.resources.write(kind, name, body, actor)
        if method == "DELETE":
            return self.answer_delete(environ, kind, name, actor)
        return problem_response(405, f"{method} is not served here")

    def answer_delete(
        self, environ: Environ, kind: str, name: str, actor: Actor
    ) -> Response:
        """Delete one object.

        With a version in the query or in If-Match, delete only that version.
        """
        requested_version = query_parameters(environ).get("version") or environ.get(
            "HTTP_IF_MATCH"
        )
        if requested_version is None:
            return self.resources.remove(kind, name, None, actor)
        version = _parse_whole_number(requested_version.strip('"'))
        if version is None:
            return problem_response(400, "version is a whole number")
        return self.resources.remove(kind, name, version, actor)

    def answer_audit(self, environ: Environ) -> Response:
        """List the audit entries since a wall-clock time in ms."""
        since = query_parameters(environ).get("since")
        since_ms = None if since is None else _parse_whole_number(since)
        if since is not None and since_ms is None:
            return problem_response(400, "since is a wall time in ms")
        entries = self.audit.read(since_ms)
        if isinstance(entries, Failure):
            return store_error_response(entries.failure())
        return json_response(200, {"items": entries.unwrap()})


@UNAUTHENTICATED_PATHS.register("/healthz")
def answer_health(app: AdminApp) -> Response:
    """Return the liveness of the process."""
    return json_response(200, app.health.live())


@UNAUTHENTICATED_PATHS.register("/readyz")
def answer_readiness(app: AdminApp) -> Response:
    """Return whether the node is ready for callers, 503 when it is not."""
    readiness = app.health.ready()
    return json_response(200 if readiness.ready else 503, readiness)


@UNAUTHENTICATED_PATHS.register("/metrics")
def answer_metrics(app: AdminApp) -> Response:
    """Return the metrics as Prometheus text."""
    return app.health.metrics()


def _parse_whole_number(text: str) -> int | None:
    return int(text) if text.isascii() and text.isdigit() else None
