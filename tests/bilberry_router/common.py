"""Settings for the node's tests."""

from bilberry_router.settings import decode_settings


def settings_data(**changes):
    data = {
        "node": {"name": "vm-1", "region": "mtl", "failure_domain": "mtl-a"},
        "listen": {
            "address": "127.0.0.1:0",
            "admin_address": "127.0.0.1:0",
            "peer_address": "127.0.0.1:0",
        },
        "store": {"url": "http://127.0.0.1:1"},
    }
    data.update(changes)
    return data


def make_settings(**changes):
    return decode_settings(settings_data(**changes)).unwrap()
