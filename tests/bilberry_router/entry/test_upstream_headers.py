"""An upstream's odd headers cost no caller its answer."""

import pytest

from .common import Rig


@pytest.mark.parametrize(
    "text", ["", "1,2", "1,2,3,4", "-1,0,4", "\xb2,0,4", "9" * 5_000 + ",0,4", "a,b,c"]
)
def test_an_odd_load_report_is_ignored(text, caplog):
    with Rig(count=1) as rig:
        rig.upstreams[0].faults.load = text
        assert rig.ask("/read/x").status == 200
    assert any("Invalid header of upstream u0" in line for line in caplog.messages)
