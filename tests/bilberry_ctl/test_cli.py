"""Test the options that all commands share."""

import pytest

from bilberry_ctl.cli import main


def test_the_token_and_the_server_come_from_the_environment(api, monkeypatch, capsys):
    monkeypatch.setenv("BILBERRYCTL_SERVER", api.http.url)
    monkeypatch.setenv("BILBERRYCTL_TOKEN", "s3cret")
    assert main(["get", "region"]) == 0
    assert main(["get", "region", "--token", "other"]) == 0
    assert api.tokens == {"Bearer s3cret", "Bearer other"}


@pytest.mark.parametrize(
    "argv", [["nope"], [], ["get"], ["get", "region", "--output", "xml"], ["apply"]]
)
def test_usage_errors_end_with_2(run, argv):
    assert run(*argv) == 2


def test_help_ends_with_0_and_shows_examples(run):
    assert run("--help") == 0
    assert "apply -f" in run.out
    assert run("drain", "--help") == 0
    assert "bilberryctl drain site/mtl-a" in run.out


@pytest.mark.parametrize("server", ["10.0.0.1:80", "http://x", "https://x:1"])
def test_a_server_that_is_no_url_is_a_usage_error(server, capsys):
    assert main(["--server", server, "get", "region"]) == 2
    assert "--server: expected" in capsys.readouterr().err


def test_an_unreachable_server_fails(capsys):
    assert main(["--server", "http://127.0.0.1:1", "get", "region"]) == 1
    assert "127.0.0.1:1" in capsys.readouterr().err


def test_a_write_is_sent_once_when_the_reply_is_lost(run, api, config, monkeypatch):
    from bilberry_testing.http import reset_connection

    monkeypatch.setattr(api, "put", lambda *args: reset_connection())
    assert run("apply", "-f", config) == 1
    assert [method for method, _ in api.requests] == ["GET", "PUT"]
