"""Test that the deployment files match the program."""

import tomllib
from pathlib import Path

from bilberry_platform.const import METRICS_PORT
from bilberry_router.entry.metrics import METRICS_PATH

ROOT = Path(__file__).parents[2]


def test_metrics_are_served_where_the_deploy_file_says():
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    (role,) = deploy["roles"].values()
    assert role["metrics"] == f"{METRICS_PORT}{METRICS_PATH}"


def test_the_node_gets_the_packages_that_render_metrics():
    pinned = (ROOT / "deploy/requirements.txt").read_text().split()
    everywhere = (ROOT / "requirements.txt").read_text().split()
    for name in ("aioprometheus", "orjson", "quantile-python"):
        (wanted,) = [line for line in everywhere if line.startswith(f"{name}==")]
        assert wanted in pinned
