"""Requests to the fleet of a rig, as callers and operators send them."""

import subprocess
import sys
from collections import Counter

import msgspec
import yaml

from pistachiowell.bench.client import TIMEOUT_S, call
from pistachiowell.bench.plan import MODEL, server_rows
from pistachiowell.store.resources import BASE_PATH

OPERATOR = "rig"
OPERATOR_KEY = "key-operator"
CTL_TIMEOUT_S = 60.0
REPORT_TIMEOUT_S = 5.0


class RigError(AssertionError):
    """An operation of the rig failed."""


class RigClient:
    """Mixin of ``Rig`` that sends requests and reads state."""

    def server_rows(self):
        """Returns the table rows of the backend servers, with their URLs."""
        urls = {spec.name: self.url(spec.name) for spec in self.plan.servers}
        return server_rows(self.plan, urls)

    def ctl(self, *words):
        """Runs ``pistachiowell-ctl`` with JSON output.

        Appends the command and its output to ``ctl.log`` in the rig's directory.

        Args:
            *words: Command line after the ``--settings`` and ``--json`` flags.

        Returns:
            ``(exit code, document)``; the document is None if ``ctl`` printed
            nothing.
        """
        module = "pistachiowell.ctl.main"
        settings = self.directory / "ctl.yaml"
        head = [sys.executable, "-m", module, f"--settings={settings}", "--json"]
        command = [*head, *[str(word) for word in words]]
        completed = subprocess.run(command, capture_output=True, timeout=CTL_TIMEOUT_S)
        with (self.directory / "ctl.log").open("ab") as log:
            log.write(b" ".join(word.encode() for word in command[5:]) + b"\n")
            log.write(completed.stdout + completed.stderr)
        document = (
            msgspec.json.decode(completed.stdout) if completed.stdout.strip() else None
        )
        return completed.returncode, document

    def apply(self, rows, *, wait=False):
        """Applies rows to the operators' table with ``ctl apply``.

        Args:
            rows: Rows as mappings.
            wait: Whether to wait until all processes have applied them.

        Returns:
            The document that ``ctl`` printed.

        Raises:
            RigError: ``ctl`` exited with an error.
        """
        path = self.directory / f"table-{next(self._table_numbers)}.yaml"
        path.write_text(yaml.safe_dump({"rows": list(rows)}), encoding="utf-8")
        code, document = self.ctl("apply", path, *(["--wait"] if wait else []))
        if code:
            raise RigError(f"ctl apply exited with {code}: {document}\n{self.logs()}")
        return document

    def credit(self, account, tokens):
        """Adds tokens to the budget of a client account with ``ctl topup``.

        Raises:
            RigError: ``ctl`` exited with an error.
        """
        code, document = self.ctl("topup", account, tokens)
        if code:
            raise RigError(f"ctl topup exited with {code}: {document}")

    def objects(self, collection):
        """Returns the specs of the objects in a collection of the store, by name.

        Args:
            collection: Name of the collection.
        """
        reply = call(f"{self.store_url}{BASE_PATH}/{collection}")
        items = reply.document["items"]
        return {item["metadata"]["name"]: item["spec"] for item in items}

    def bill(self):
        """Returns the billed tokens by client account.

        The journals may hold several entries of one request; each request counts
        once.
        """
        entries = {}
        for journal in self.objects("journals").values():
            for entry in journal["entries"]:
                entries[entry["request_id"]] = entry
        tokens = Counter()
        for entry in entries.values():
            tokens[entry["account"]] += entry["tokens"]
        return dict(tokens)

    def events(self, router):
        """Returns the latest events of a router, oldest first.

        The list is empty if the router does not answer.
        """
        reply = self._report(router, "/events")
        return reply.document["events"] if reply.status == 200 else []

    def status(self, router):
        """Returns the status report of a router."""
        return self._report(router, "/status").document

    def _report(self, router, path):
        headers = {"authorization": f"Bearer {OPERATOR_KEY}"}
        url = self.url(router) + path
        return call(url, headers=headers, timeout_s=REPORT_TIMEOUT_S)

    def chat(
        self,
        prompt,
        *,
        router=None,
        account=None,
        model="chat",
        headers=None,
        timeout_s=TIMEOUT_S,
        **fields,
    ):
        """Sends one chat request.

        Args:
            prompt: Content of the user's message; ``words=N`` in it sets the
                length of the answer.
            router: Name of the router; the first one if None.
            account: Client account; the first one if None.
            model: Name of the route.
            headers: Mapping of further headers.
            timeout_s: Read timeout in seconds: longest time without data.
            **fields: Further fields of the request's body.

        Returns:
            A ``Reply``.
        """
        messages = [{"role": "user", "content": prompt}]
        document = {"model": model, "messages": messages, **fields}
        path = "/v1/chat/completions"
        return self.send(path, document, router, account, headers, timeout_s)

    def service(self, path, document, key="", *, router=None, account=None):
        """Sends one request to a plain service.

        Args:
            path: ``<route>/<path at the service>``.
            document: Body, sent as JSON.
            key: Idempotency key; sent without one if empty.
            router: Name of the router; the first one if None.
            account: Client account; the first one if None.

        Returns:
            A ``Reply``.
        """
        headers = {"idempotency-key": key} if key else {}
        return self.send(f"/services/{path}", document, router, account, headers)

    def send(
        self,
        path,
        document,
        router=None,
        account=None,
        headers=None,
        timeout_s=TIMEOUT_S,
    ):
        """Sends a caller's request with the account's API key; see ``chat``."""
        account = account or self.plan.accounts[0][0]
        key = self.plan.api_key_prefix + account
        authorization = {"authorization": f"Bearer {key}"}
        url = self.url(router or self.routers[0]) + path
        all_headers = {**authorization, **(headers or {})}
        return call(url, document, headers=all_headers, timeout_s=timeout_s)

    def runs(self, key):
        """Returns how often the plain services executed a request with a key.

        More than one execution of a non-idempotent request means that the fleet
        ran it twice. Servers that do not answer are not counted.
        """
        plain_servers = [
            spec.name for spec in self.plan.servers if spec.service != MODEL
        ]
        replies = [call(self.url(name) + "/control/runs") for name in plain_servers]
        counts = [reply.document["runs"] for reply in replies if reply.status == 200]
        return sum(runs.get(key, 0) for runs in counts)
