"""Tests of the tools that callers and operators use against the real programs."""

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import openai
import pytest

ROOT = Path(__file__).parents[3]
QUICKSTART = [sys.executable, str(ROOT / "bin" / "quickstart")]
MESSAGES = [{"role": "user", "content": "Which belt fits? words=5"}]


@pytest.fixture
def client(rig):
    key = rig.plan.api_key_prefix + rig.plan.accounts[0][0]
    url = rig.url("router-1") + "/v1"
    with openai.OpenAI(base_url=url, api_key=key, max_retries=0) as client:
        yield client


def test_openai_client_gets_whole_answers_and_usage(client):
    """Answers are complete, with their usage and finish reason."""
    answer = client.chat.completions.create(model="chat", messages=MESSAGES)
    assert len(answer.choices[0].message.content.split()) == 5
    assert answer.usage.total_tokens == 9
    text = client.completions.create(model="chat", prompt="a words=3", max_tokens=2)
    assert text.usage.completion_tokens == 2
    assert text.choices[0].finish_reason == "length"
    assert "chat" in [model.id for model in client.models.list()]


def test_openai_client_streams_with_and_without_usage(client):
    """A stream has the text of the plain answer, and usage only on request."""
    whole = client.chat.completions.create(model="chat", messages=MESSAGES)
    for options in ({}, {"stream_options": {"include_usage": True}}):
        stream = client.chat.completions.create(
            model="chat", messages=MESSAGES, stream=True, **options
        )
        chunks = list(stream)
        deltas = [
            chunk.choices[0].delta.content or "" for chunk in chunks if chunk.choices
        ]
        assert "".join(deltas) == whole.choices[0].message.content
        usages = [chunk.usage.total_tokens for chunk in chunks if chunk.usage]
        assert usages == ([9] if options else [])


def test_openai_client_gets_typed_errors(client):
    """The client library maps the routers' errors to its own exceptions."""
    with pytest.raises(openai.NotFoundError) as caught:
        client.chat.completions.create(model="none", messages=MESSAGES)
    assert caught.value.code == "not_found"
    with pytest.raises(openai.AuthenticationError):
        client.with_options(api_key="wrong").models.list()


def test_status_and_timeline_ask_all_processes(rig):
    """``ctl status`` and ``ctl timeline`` cover every router and agent."""
    code, document = rig.ctl("status")
    assert code == 0
    assert document["in_force"]["have"] == sorted([*rig.routers, *rig.agents])
    rig.chat("hello", account="belt-south")
    page = rig.directory / "page.html"
    arguments = ["--account=belt-south", f"--html={page}"]
    code, document = rig.ctl("timeline", *arguments)
    assert code == 0
    kinds = [event["kind"] for event in document["events"]]
    assert kinds.index("request_sent") < kinds.index("request_answered")
    received = [e for e in document["events"] if e["kind"] == "request_received"]
    assert len({event["process"] for event in received}) == 2
    assert page.read_text(encoding="utf-8").count("<th>") == 3


def test_status_names_a_paused_process_and_works_without_store(rig):
    """``ctl status`` reports a process that does not answer.

    While the store is down, it still works with the address of a process.
    """
    rig.pause("router-2")
    code, document = rig.ctl("status")
    rig.resume("router-2")
    assert code == 5
    assert document["silent"] == ["router-2"]
    rig.store_faults(down=True)
    port = rig.peer_port("router-1")
    code, document = rig.ctl("status", f"--process=127.0.0.1:{port}")
    rig.clear_link_and_store_faults()
    assert [report["id"] for report in document["processes"]] == ["router-1"]


def test_quickstart_shows_the_whole_path():
    """The quick start sends requests, and prints the bill and the timeline."""
    completed = subprocess.run(QUICKSTART, capture_output=True, text=True, timeout=60)
    assert completed.returncode == 0, completed.stderr
    assert "Bill in tokens:" in completed.stdout
    assert "bill_journaled" in completed.stdout


def test_quickstart_keeps_up_until_a_signal_and_leaves_nothing():
    """With ``--keep`` the fleet runs until SIGTERM; no process is left then."""
    with subprocess.Popen([*QUICKSTART, "--keep"], stdout=subprocess.PIPE) as child:
        line = child.stdout.readline()
        child.send_signal(signal.SIGTERM)
    document = json.loads(line)
    assert child.returncode == 0
    assert set(document["api_keys"].values()) > {"demo-shop-ho"}
    for pid in document["process_ids"].values():
        with pytest.raises(ProcessLookupError):
            os.kill(pid, 0)
