"""Run real fleet tasks over loopback with short timings."""

import gevent
from gevent.pywsgi import WSGIHandler, WSGIServer

from bilberry_core.clock import SystemClock
from bilberry_fleet.messages import Member
from bilberry_fleet.settings import FleetSettings
from bilberry_fleet.task import FleetTask
from bilberry_resources.model import Metadata, StoredObject
from bilberry_store.client import StoreClient, StoreClientSettings
from bilberry_testing.platform import PlatformServer
from bilberry_testing.platform.messages import Vm, VmUpdate

FAST_TIMINGS = {
    "poll_hold_ms": 300,
    "gossip_ms": 100,
    "suspect_ms": 200,
    "dead_ms": 200,
    "pull_spacing_ms": 20,
    "retry_ms": 50,
    "avoid_ms": 300,
    "report_ms": 50,
    "vms_ms": 100,
    "watch_ms": 500,
    "tick_ms": 20,
    "lease_ms": 600,
    "lease_renew_ms": 150,
    "lease_margin_ms": 100,
    "lease_poll_ms": 100,
    "store_backoff_max_ms": 200,
}


class SocketHandler(WSGIHandler):
    def get_environ(self):
        return {**super().get_environ(), "harness.socket": self.socket}


class FleetCluster:
    """A store and the fleet nodes connected to it."""

    def __init__(self, **settings):
        self.settings = FleetSettings(**{**FAST_TIMINGS, **settings})
        self.platform = PlatformServer()
        self.platform.start()
        self.tasks = {}
        self.servers = {}
        self.vms = []

    def add(self, name, domain="a", site=None):
        holder = []

        def app(environ, start_response):
            if name not in self.servers:
                environ["harness.socket"].shutdown(2)
                return []
            headers = {
                key[5:].replace("_", "-"): value
                for key, value in environ.items()
                if key.startswith("HTTP_")
            }
            path = environ["PATH_INFO"]
            if environ["QUERY_STRING"]:
                path += "?" + environ["QUERY_STRING"]
            body = environ["wsgi.input"].read()
            answer = holder[0].handle(environ["REQUEST_METHOD"], path, headers, body)
            length = ("Content-Length", str(len(answer.body)))
            start_response(f"{answer.status} X", [length, *answer.headers])
            return [answer.body]

        server = WSGIServer(
            ("127.0.0.1", 0), app, log=None, error_log=None, handler_class=SocketHandler
        )
        server.start()
        address = f"127.0.0.1:{server.server_port}"
        member = Member(
            name=name,
            address=address,
            peer_address=address,
            region="mtl",
            failure_domain=domain,
            site=site or f"site-{domain}",
        )
        client = StoreClient(
            self.platform.url,
            SystemClock(),
            StoreClientSettings(
                calls_per_s=500,
                call_burst=500,
                resolve_delay_ms=10,
                call_timeout_ms=500,
            ),
        )
        client.start()
        task = FleetTask(member, self.settings, client, SystemClock())
        holder.append(task)
        self.tasks[name] = task
        self.servers[name] = server
        self.vms.append(
            Vm(
                name=name,
                address=address,
                peer_address=address,
                admin_address=address,
                region="mtl",
                failure_domain=domain,
                site=member.site,
            )
        )
        self.list_vms()
        return task

    def list_vms(self):
        self.platform.vms.set(VmUpdate(items=list(self.vms)), 0)

    def stop(self, name):
        self.servers.pop(name).stop(timeout=0)
        task = self.tasks.pop(name)
        task.close()
        task.store.close()

    def close(self):
        for name in list(self.tasks):
            self.stop(name)
        self.platform.close()

    def put(self, name, **spec):
        client = next(iter(self.tasks.values())).store
        stored = StoredObject(kind="site", metadata=Metadata(name=name), spec=spec)
        current = client.get("site", name)
        version = current.map(lambda o: o.metadata.version).value_or(0)
        return client.put(stored, version).unwrap()


def wait_for(condition, limit_s=8.0):
    with gevent.Timeout(limit_s):
        while not condition():
            gevent.sleep(0.01)
    return True


def drain(task, kind):
    found = []
    while not task.events.empty():
        event = task.events.get()
        if isinstance(event, kind):
            found.append(event)
    return found
