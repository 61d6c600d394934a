"""Fake in-memory resource API."""

import msgspec

from bilberry_core.outcome import Failure, Problem
from bilberry_resources.model import Status
from bilberry_testing.http import HttpServer, json_response
from bilberry_testing.platform.messages import PlatformObject
from bilberry_testing.platform.table import ObjectTable


class FakeApi:
    """Serve objects from a table.

    `canned` responses, keyed by method and path, take precedence. One that
    is in `remove_after` is removed after that many requests.
    """

    def __init__(self):
        self.table = ObjectTable()
        self.canned = {}
        self.remove_after = {}
        self.status = Status(in_force=True, sites_applied=2, sites_total=2, progress=1)
        self.tokens = set()
        self.requests = []
        self.http = HttpServer(self.handle)

    def handle(self, request):
        self.requests.append((request.method, request.path))
        self.tokens.add(request.header("Authorization"))
        key = (request.method, request.path)
        canned = self.canned.get(key)
        if canned is not None:
            if self.requests.count(key) == self.remove_after.get(key):
                del self.canned[key]
            return canned
        parts = request.path.split("/")[3:]
        if len(parts) == 1:
            return self.handle_kind(request, parts[0])
        return getattr(self, request.method.lower())(request, *parts)

    def handle_kind(self, request, kind):
        if "watch" in request.query:
            since = int(request.query["since"])
            return json_response(self.table.changes(kind, since).unwrap())
        return json_response(self.table.list(kind))

    def get(self, request, kind, name):
        found = self.table.get(kind, name)
        if isinstance(found, Failure):
            return problem(404, "not found", found.failure().detail)
        value = msgspec.json.decode(found.unwrap())
        version = value["metadata"]["version"]
        status = msgspec.structs.replace(self.status, accepted_version=version)
        return json_response({**value, "status": status})

    def put(self, request, kind, name):
        value = msgspec.json.decode(request.body, type=PlatformObject)
        written = self.table.put(kind, name, value, value.metadata["version"])
        return self.answer_change(kind, name, written)

    def delete(self, request, kind, name):
        deleted = self.table.delete(kind, name, int(request.query["version"]))
        if isinstance(deleted, Failure):
            return self.answer_change(kind, name, deleted)
        return json_response({})

    def answer_change(self, kind, name, result):
        if isinstance(result, Failure):
            current = self.table.get(kind, name).unwrap()
            return json_response(msgspec.Raw(current), 409)
        return json_response(msgspec.Raw(result.unwrap()))


def problem(status, title, detail="", outcome="not-run", errors=()):
    message = Problem(title, status, detail, outcome, errors=list(errors))
    return json_response(message, status)
