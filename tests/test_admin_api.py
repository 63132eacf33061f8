"""Tests of the administration API, its client and the command line."""

import asyncio
import contextlib
import dataclasses
import hashlib
import io
import json
import pathlib
import socket
import tempfile
import threading
import time
from typing import Any
import unittest
import urllib.parse

import msgpack
import uvicorn

from tarragoncleat.administration import admin_api
from tarragoncleat.administration import admin_client
from tarragoncleat.administration import auth
from tarragoncleat.administration import cli
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import metrics
from tarragoncleat.kernel import settings
from tarragoncleat.state import commands
from tarragoncleat.state import jobs
from tarragoncleat.state import waves
from tests import builders

_HOST, _PORT = f"{builders.LOOPBACK}.80.1", 8124
_PROFILE = {"owed": {"instances": 4}, "settle_s": 0}


def _token(
    name: str, role: str, firm: str, services: tuple[str, ...] = ()
) -> settings.Token:
    return settings.Token(
        sha256=hashlib.sha256(name.encode()).hexdigest(),
        name=name,
        role=settings.Role(role),
        firm=firm,
        services=services,
    )


def _build_api(driver: builders.FleetDriver) -> tuple[Any, builders.LocalLog]:
    log = builders.LocalLog(driver)
    tokens = (
        _token("root", "operator", "*"),
        _token("a", "operator", "firm-a"),
        _token("b", "operator", "firm-b"),
        _token("audit-a", "auditor", "firm-a"),
        _token("caller-a", "caller", "firm-a"),
        _token("service-a", "service", "firm-a", ("service",)),
    )
    api = admin_api.AdminApi(
        builders.build_settings(),
        driver.fleet,
        log,
        auth.Authenticator(settings.AuthSettings(required=True, tokens=tokens)),
        lambda: {"role": "leader"},
        metrics.Metrics(),
    )
    return api, log


class _Reply:
    def __init__(self, events: list[dict]) -> None:
        self.status = events[0]["status"]
        self.headers = dict(events[0]["headers"])
        self.text = events[1]["body"].decode()
        self.body = json.loads(self.text)


class _ApiTest(unittest.TestCase):
    def setUp(self) -> None:
        self.driver = builders.FleetDriver()
        builders.populate(self.driver)
        builders.populate(self.driver, 3, "firm-b", "-b")
        self.api, self.log = _build_api(self.driver)

    def call(
        self,
        token: str | None,
        method: str,
        path: str,
        body: Any = None,
        **headers: str,
    ) -> _Reply:
        """Calls the application in this process."""
        events: list[dict] = []
        target = urllib.parse.urlsplit(path)
        sent = {name.replace("_", "-"): v for name, v in headers.items()}
        if token is not None:
            sent["authorization"] = f"Bearer {token}"
        scope = {
            "type": "http",
            "method": method,
            "path": urllib.parse.unquote(target.path),
            "raw_path": target.path.encode(),
            "query_string": target.query.encode(),
            "headers": [(k.encode(), v.encode()) for k, v in sent.items()],
        }

        async def receive() -> dict:
            data = b"" if body is None else json.dumps(body).encode()
            return {"type": "http.request", "body": data}

        async def send(event: dict) -> None:
            events.append(event)

        asyncio.run(self.api(scope, receive, send))
        return _Reply(events)


class AccessTest(_ApiTest):
    """Guards against unauthorized access, and leaks between firms."""

    def test_unknown_or_missing_tokens_are_refused(self) -> None:
        """Guards against access without a valid token."""
        for token in (None, "wrong"):
            reply = self.call(token, "GET", "/admin/v1/profiles")
            self.assertEqual(reply.status, 401)
            self.assertEqual(reply.body["error"], "unauthorized")

    def test_roles_limit_methods(self) -> None:
        """Guards against writes of auditors, and any access of callers."""
        path = "/admin/v1/profiles/new"
        for token, method, status in (
            ("a", "PUT", 200),
            ("audit-a", "GET", 200),
            ("audit-a", "PUT", 403),
            ("service-a", "PUT", 403),
            ("caller-a", "GET", 403),
        ):
            with self.subTest(f"{token} {method}"):
                body = _PROFILE if method == "PUT" else None
                reply = self.call(token, method, path, body)
                self.assertEqual(reply.status, status, reply.text)

    def test_a_firm_never_sees_another_firms_objects(self) -> None:
        """Guards against reads, lists or reports of another firm's objects.

        The answer must not even show whether a foreign object exists.
        """
        self.driver.apply_ok(
            commands.ProposeWave(
                ids.WaveId("wave-b"),
                ids.FirmId("firm-b"),
                _selection("pool-b"),
            )
        )
        for kind, name in (
            ("profiles", "profile-b"),
            ("services", "service-b"),
            ("pools", "pool-b"),
            ("instances", "i0-b"),
            ("waves", "wave-b"),
        ):
            foreign = self.call("a", "GET", f"/admin/v1/{kind}/{name}")
            absent = self.call("a", "GET", f"/admin/v1/{kind}/absent")
            self.assertEqual(foreign.status, 404)
            self.assertEqual(
                foreign.body["reason"].replace(name, "absent"),
                absent.body["reason"],
            )
            everything = self.call("a", "GET", f"/admin/v1/{kind}")
            self.assertNotIn("-b", everything.text)
            own = self.call("b", "GET", f"/admin/v1/{kind}/{name}")
            self.assertEqual(own.status, 200)
        for path in (
            "ledger?limit=1000",
            "ledger?service=service-b",
            "instances?pool=pool-b",
            "report?service=service-b",
        ):
            reply = self.call("a", "GET", f"/admin/v1/{path}")
            text = reply.text.replace("no service service-b", "")
            self.assertNotIn("-b", text)
        for path in ("state", "metrics"):
            reply = self.call("a", "GET", f"/admin/v1/{path}")
            self.assertEqual(reply.status, 403)

    def test_a_firm_never_changes_another_firms_objects(self) -> None:
        """Guards against commands that affect objects of another firm."""
        before = self.driver.fleet.snapshot()
        for method, path, body in (
            ("PUT", "profiles/profile-b", _PROFILE),
            ("PUT", "profiles/new", {**_PROFILE, "firm": "firm-b"}),
            ("DELETE", "instances/i0-b", None),
            ("POST", "instances/i0/move", {"pool_id": "pool-b"}),
            ("POST", "instances/i0-b/move", {"pool_id": "pool"}),
            ("PUT", "waves/w", {"selection": {"pools": ["pool-b"]}}),
            ("PUT", "pools/pool-b", {}),
        ):
            with self.subTest(path):
                reply = self.call("a", method, f"/admin/v1/{path}", body)
                self.assertIn(reply.status, (403, 404), reply.text)
                self.assertNotIn("firm-b's", reply.text)
        self.assertEqual(
            _objects(before), _objects(self.driver.fleet.snapshot())
        )

    def test_service_token_is_limited_to_its_services(self) -> None:
        """Guards against a service token that reaches other services."""
        job = {
            "demand": {"cores": 1, "memory_mb": 10},
            "declared_run_s": 5,
            "job_id": "j",
        }
        for service, status in (("service", 200), ("service-b", 404)):
            submitted = [{**job, "service_id": service}]
            reply = self.call(
                "service-a", "POST", "/admin/v1/jobs", {"jobs": submitted}
            )
            self.assertEqual(reply.status, status, reply.text)
        reply = self.call("service-a", "DELETE", "/admin/v1/jobs/j")
        self.assertEqual(reply.body["value"]["cancelled"], ["j"])

    def test_job_that_an_entry_has_not_applied_yet_can_be_cancelled(
        self,
    ) -> None:
        """Guards against 404 for a job that another entry has acknowledged.

        The check of the token's services read the entry's own state, which may
        be behind, without a read barrier.
        """
        job = jobs.Job(
            ids.JobId("j"),
            ids.ServiceId("service"),
            None,
            jobs.Demand(1.0, 100),
            10.0,
        )

        def apply_job() -> None:
            self.driver.apply_ok(commands.SubmitJobs((job,)))

        self.log.before_read = apply_job
        reply = self.call("service-a", "DELETE", "/admin/v1/jobs/j")
        self.assertEqual(reply.status, 200, reply.text)
        self.assertEqual(reply.body["value"]["cancelled"], ["j"])

    def test_job_id_that_another_service_uses_by_now_is_not_cancelled(
        self,
    ) -> None:
        """Guards against a cancellation beyond the services of a token.

        The id belonged to a job of the token's service when the entry checked
        it, and to one of another service when the command was applied.
        """
        job = jobs.Job(
            ids.JobId("j"),
            ids.ServiceId("service"),
            None,
            jobs.Demand(1.0, 100),
            10.0,
        )
        self.driver.apply_ok(commands.SubmitJobs((job,)))

        def reuse_id() -> None:
            state = self.driver.fleet._state
            other_id = ids.ServiceId("other-service")
            service = state.services[job.service_id]
            state.services[other_id] = dataclasses.replace(
                service, service_id=other_id
            )
            state.put_job(
                dataclasses.replace(state.jobs[job.job_id], service_id=other_id)
            )

        self.log.before_apply = reuse_id
        reply = self.call("service-a", "DELETE", "/admin/v1/jobs/j")
        self.assertEqual(reply.status, 404, reply.text)
        self.assertFalse(self.driver.fleet.jobs[job.job_id].state.is_final)


class CommandTest(_ApiTest):
    """Guards against lost or repeated commands and unclear errors."""

    def test_error_for_an_invalid_body_names_the_field(self) -> None:
        """Guards against invalid values that are accepted or not explained."""
        for body, field in (
            ({"owed": {"instances": "many"}}, "owed.instances"),
            ({"owed": {"instance": 3}}, "owed.instance"),
            ({"owed": {}, "state": "x"}, "state"),
            ({**_PROFILE, "tolerance": {"max_out": 9}}, "max_out"),
            ([], "object"),
            ({"owed": {"cores": float("inf")}}, "not a number"),
            ({"owed": {"cores": 1e300}}, "owed.cores"),
            ({"owed": {"instances": 10**30}}, "digits"),
            ({"owed": {}, "firm": "\ud800"}, "surrogates"),
        ):
            reply = self.call("a", "PUT", "/admin/v1/profiles/new", body)
            self.assertEqual(reply.status, 400)
            self.assertIn(field, reply.body["reason"])
            self.assertEqual(
                reply.headers[b"tarragoncleat-outcome"], b"not-run"
            )

    def test_second_write_with_the_same_revision_conflicts(self) -> None:
        """Guards against an operator that overwrites a concurrent change."""
        path = "/admin/v1/profiles/profile"
        revision = self.call("a", "GET", path).body["item"]["revision"]
        replies = [
            self.call(
                "a",
                "PUT",
                path,
                {**_PROFILE, "settle_s": settle_s},
                if_match=str(revision),
            )
            for settle_s in (10, 20)
        ]
        self.assertEqual([reply.status for reply in replies], [200, 409])
        detail = replies[1].body["detail"]
        self.assertEqual(detail["revision"], replies[0].body["revision"])
        self.assertEqual(
            detail["differences"], {"settle_s": {"current": 10, "given": 20}}
        )

    def test_lost_answer_can_be_looked_up_and_resent(self) -> None:
        """Guards against a resent command that is applied twice."""
        path = "/admin/v1/profiles/new"
        first = self.call("a", "PUT", path, _PROFILE, command_id="c1")
        again = self.call("a", "PUT", path, _PROFILE, command_id="c1")
        self.assertEqual(again.body, first.body)
        found = self.call("a", "GET", "/admin/v1/commands/c1")
        self.assertEqual(
            found.body["result"]["revision"], first.body["revision"]
        )
        foreign = self.call("b", "GET", "/admin/v1/commands/c1")
        self.assertEqual(foreign.status, 404)

    def test_entry_without_leader_serves_only_local_reads(self) -> None:
        """Guards against stale reads that claim to be committed."""
        self.log.failure = errors.Failure(
            errors.ErrorKind.NO_LEADER, "no leader"
        )
        path = "/admin/v1/profiles/profile"
        self.assertEqual(self.call("a", "GET", path).status, 503)
        reply = self.call("a", "GET", f"{path}?consistency=local")
        self.assertEqual(reply.body["consistency"], "local")
        self.assertEqual(reply.body["applied_index"], self.driver.index)
        reply = self.call("a", "PUT", path, _PROFILE, command_id="c2")
        self.assertEqual(reply.status, 503)
        self.assertEqual(reply.body["detail"], {"command_id": "c2"})

    def test_pages_contain_each_object_once(self) -> None:
        """Guards against objects that paging skips or repeats."""
        names: list[str] = []
        cursor = ""
        while cursor is not None:
            path = f"/admin/v1/instances?limit=4&cursor={cursor}"
            body = self.call("root", "GET", path).body
            names.extend(item["instance_id"] for item in body["items"])
            cursor = body["next_cursor"]
        self.assertEqual(names, sorted(self.driver.fleet.instances))


class CommandLineTest(unittest.TestCase):
    """Guards against a command line that fails against a real listener."""

    def setUp(self) -> None:
        self.driver = builders.FleetDriver()
        api, _ = _build_api(self.driver)
        config = uvicorn.Config(
            api, _HOST, _PORT, lifespan="off", log_level="warning"
        )
        self.server = uvicorn.Server(config)
        thread = threading.Thread(target=self.server.run)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(setattr, self.server, "should_exit", True)
        while not self.server.started and thread.is_alive():
            time.sleep(0.01)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def run_cli(self, *arguments: str, status: int = 0) -> str:
        token = self.folder / "token"
        token.write_text("root\n")
        output, error = io.StringIO(), io.StringIO()
        with (
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(error),
            self.assertRaises(SystemExit) as raised,
        ):
            cli.main(
                [
                    *arguments,
                    f"--url=http://{_HOST}:1,http://{_HOST}:{_PORT}",
                    f"--token-file={token}",
                ]
            )
        text = output.getvalue() + error.getvalue()
        self.assertEqual(raised.exception.code, status, text)
        return text

    def put(self, kind: str, name: str, body: Any, status: int = 0) -> str:
        file = self.folder / "body.json"
        file.write_text(json.dumps(body))
        return self.run_cli(kind, "put", name, f"--file={file}", status=status)

    def test_commands_cover_the_life_cycle_of_a_service(self) -> None:
        """Guards against commands that don't match the API."""
        firm = {"firm": "firm-a"}
        self.put("profile", "p", {**_PROFILE, **firm})
        self.put("pool", "pool", firm)
        self.put("service", "s", {**firm, "profile_id": "p", "pool_id": "pool"})
        self.put("team", "t", {**firm, "quota": {"cores": 1}})
        for number in range(5):
            self.put(
                "instance",
                f"i{number}",
                {
                    "pool_id": "pool",
                    "availability_zone": "z",
                    "rack": "r",
                    "cores": 4,
                    "memory_mb": 100,
                    "accelerators": 0,
                    "address": "127.24.9.9:1",
                },
            )
        self.run_cli("wave", "propose", "w", "--firm=firm-a", "--pools=pool")
        self.run_cli("wave", "approve", "w")
        self.assertIn("approved", self.run_cli("wave", "list"))
        jobs = self.folder / "jobs.json"
        jobs.write_text(
            json.dumps(
                [
                    {
                        "job_id": "big",
                        "service_id": "s",
                        "demand": {"cores": 9, "memory_mb": 10},
                        "declared_run_s": 1,
                    }
                ]
            )
        )
        text = self.run_cli("job", "submit", f"--file={jobs}")
        self.assertIn("unplaceable", text)
        text = self.run_cli("report", "--service=s", "--since=0")
        self.assertIn("needs 9.0 cores", text)
        text = self.run_cli("report", "--service=s", "--form=table")
        self.assertIn("denial", text)
        page = self.run_cli("report", "--service=s", "--form=html")
        self.assertIn("<svg", page)
        text = self.run_cli("instance", "list", "--output=json")
        self.assertEqual(len(json.loads(text)), 5)
        self.assertIn("entry-1", self.run_cli("configuration"))
        self.assertIn("leader", self.run_cli("state"))

    def test_failures_print_a_message_and_set_the_exit_status(self) -> None:
        """Guards against a failed command that exits with status 0."""
        text = self.run_cli("profile", "show", "absent", status=1)
        self.assertIn("not_found: there is no profile absent", text)
        text = self.put("profile", "p", {"owed": 3}, status=1)
        self.assertIn("bad_request", text)

    def test_command_with_lost_answer_is_resent_and_applied_once(self) -> None:
        """Guards against a retry of the client that applies a command twice.

        The first URL forwards the command to the entry, and closes the
        connection without an answer.
        """
        listener = socket.create_server((_HOST, 0))
        self.addCleanup(listener.close)

        def forward_without_answer() -> None:
            """Forwards one request, and discards the answer."""
            client, _ = listener.accept()
            data = b""
            with client, socket.create_connection((_HOST, _PORT)) as entry:
                while not data.endswith(b"}"):
                    data += client.recv(65_536)
                entry.sendall(data)
                entry.recv(65_536)

        thread = threading.Thread(target=forward_without_answer)
        thread.start()
        self.addCleanup(thread.join)
        host, port = listener.getsockname()
        urls = [f"http://{host}:{port}", f"http://{_HOST}:{_PORT}"]
        with admin_client.AdminClient(urls, "a") as client:
            reply = client.send_command(
                "PUT", "profiles/p", _PROFILE, if_match=0
            )
        self.assertIsInstance(reply, admin_client.Reply, reply)
        self.assertEqual(self.driver.index, 2)
        self.assertEqual(len(self.driver.fleet.ledger), 1)

    def test_unreachable_entry_is_reported_as_not_run(self) -> None:
        """Guards against an unknown outcome of a request that wasn't sent."""
        with admin_client.AdminClient([f"http://{_HOST}:1"]) as client:
            reply = client.send_command("DELETE", "profiles/p")
        self.assertIsInstance(reply, errors.Failure)
        outcome = errors.HTTP_RESPONSES[reply.kind].outcome
        self.assertIs(outcome, errors.Outcome.NOT_RUN)


def _selection(pool: str) -> Any:
    return waves.Selection(pools=(ids.PoolId(pool),))


def _objects(snapshot: bytes) -> Any:
    """Returns the objects of a snapshot, without ledger and results."""
    tables = msgpack.unpackb(snapshot)[2]["tables"]
    object_tables = ("profiles", "pools", "instances", "waves", "services")
    return {name: tables[name] for name in object_tables}


if __name__ == "__main__":
    unittest.main()
