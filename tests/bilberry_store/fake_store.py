"""Fake object store over HTTP with injectable faults."""

from urllib.parse import parse_qs, urlsplit

import gevent
import msgspec
from gevent.pywsgi import WSGIHandler, WSGIServer


class Handler(WSGIHandler):
    def get_environ(self):
        return {**super().get_environ(), "fake.socket": self.socket}


class FakeStore:
    def __init__(self):
        self.objects = {}
        self.version = 0
        self.calls = []
        self.faults = []
        self.down = False
        self.server = WSGIServer(
            ("127.0.0.1", 0), self.app, log=None, error_log=None, handler_class=Handler
        )

    def start(self):
        self.server.start()
        return f"http://127.0.0.1:{self.server.server_port}"

    def close(self):
        self.server.stop(timeout=0)

    def app(self, environ, start_response):
        method = environ["REQUEST_METHOD"]
        self.calls.append(method)
        fault = self.faults.pop(0) if self.faults else None
        if fault == "drop" or self.down:
            return close_connection(environ)
        if callable(fault):
            fault()
        status, body = self.handle(method, environ)
        if fault == "lose":
            return close_connection(environ)
        if fault == "hang":
            gevent.sleep(5)
        start_response(status, [("Content-Length", str(len(body)))])
        return [body]

    def handle(self, method, environ):
        parts = urlsplit(environ["PATH_INFO"]).path.strip("/").split("/")
        if parts == ["vms"]:
            return "200 OK", b'{"items":[{"name":"a","extra":1}]}'
        if len(parts) == 2:
            return self.handle_kind(parts[1], parse_qs(environ["QUERY_STRING"]))
        key = (parts[1], parts[2])
        current = self.objects.get(key)
        stored_version = current["metadata"]["version"] if current else 0
        if method == "GET":
            if current is None:
                return "404 Not Found", b"{}"
            return "200 OK", msgspec.json.encode(current)
        if int(environ["HTTP_IF_MATCH"]) != stored_version:
            return "409 Conflict", msgspec.json.encode(current)
        self.version += 1
        if method == "DELETE":
            if current is None:
                return "404 Not Found", b"{}"
            del self.objects[key]
            return "200 OK", b"{}"
        stored = msgspec.json.decode(environ["wsgi.input"].read())
        stored["metadata"]["version"] = self.version
        self.objects[key] = stored
        return "200 OK", msgspec.json.encode(stored)

    def handle_kind(self, kind, query):
        items = [o for (k, _), o in self.objects.items() if k == kind]
        if "watch" not in query:
            body = {"version": self.version, "items": items}
            return "200 OK", msgspec.json.encode(body)
        since = int(query["since"][0])
        if since < 0:
            return "410 Gone", b"{}"
        events = [
            {"type": "put", "object": o}
            for o in items
            if o["metadata"]["version"] > since
        ]
        body = {"version": self.version, "events": events}
        return "200 OK", msgspec.json.encode(body)


def close_connection(environ):
    environ["fake.socket"].shutdown(2)
    return []
