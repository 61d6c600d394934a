"""Fixtures that run commands against a fake resource API."""

import msgspec
import pytest

from bilberry_ctl.cli import main

from .fake_api import FakeApi


@pytest.fixture
def api():
    fake = FakeApi()
    fake.http.start()
    yield fake
    fake.http.close()


class CommandRunner:
    """Run commands and capture the output of the last one."""

    def __init__(self, api, capsys):
        self.api = api
        self.capsys = capsys
        self.out = ""
        self.err = ""

    def __call__(self, *argv):
        code = main(["--server", self.api.http.url, *argv])
        self.out, self.err = self.capsys.readouterr()
        return int(code)

    def json(self, *argv):
        assert self("--output", "json", *argv) == 0, self.err
        return msgspec.json.decode(self.out)


@pytest.fixture
def run(api, capsys):
    return CommandRunner(api, capsys)


@pytest.fixture
def write(tmp_path):
    def write_file(text):
        path = tmp_path / "objects.jsonc"
        path.write_text(text)
        return str(path)

    return write_file


CONFIG = """
// Two upstreams of one service.
{"items": [
  {"kind": "upstream", "metadata": {"name": "u1"}, "spec": {
    "service": "suivi", "region": "mtl", "failure_domain": "mtl-a",
    "address": "127.0.0.1:9001"}},  // before what it refers to
  {"kind": "service", "metadata": {"name": "suivi"}, "spec": {"slots": 9}},
  {"kind": "region", "metadata": {"name": "mtl", "labels": {"owner": "arcq"}},
   "spec": {"failure_domains": ["mtl-a", "mtl-b"]}}
]}
"""


@pytest.fixture
def config(write):
    return write(CONFIG)
