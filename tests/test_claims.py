"""Tests of claims of idempotency keys with the real fleet state."""

from collections.abc import AsyncIterator, Awaitable, Callable
import contextlib
import dataclasses
import json
import pathlib
import tempfile
from typing import Any
import unittest

import anyio

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import settings
from tarragoncleat.kernel import timer
from tarragoncleat.requests import caller_api
from tarragoncleat.requests import claims
from tarragoncleat.state import fleet
from tests import builders
from tests import request_path_rig as rig

_URL = "/services/bidding/lots/7"
_ENTRIES = {"entry-1": f"{rig.HOST}:9300", "entry-2": f"{rig.HOST}:9301"}
_UPSTREAMS = {"up-1": f"{rig.HOST}:9302", "up-2": f"{rig.HOST}:9303"}


@dataclasses.dataclass
class _Applied:
    result: bytes


@dataclasses.dataclass
class _Received:
    message: object
    reply: Callable[[object], None]


class _Log:
    """A log that applies each record to one fleet, with a short delay."""

    def __init__(self) -> None:
        self.cut_off_since_ms: int | None = None
        self.lost_replies = 0
        self.refusal: errors.Failure | None = None
        self.records = 0
        self._fleet = fleet.Fleet()

    async def propose(self, payload: bytes, timeout_s: float) -> Any:
        await anyio.sleep(0.01)
        if self.refusal is not None:
            return self.refusal
        self.records += 1
        result = self._fleet.apply(self.records, self.records, payload)
        if self.lost_replies:
            self.lost_replies -= 1
            return errors.Failure(errors.ErrorKind.UNDECIDED, "reply lost")
        return _Applied(result)


class _Links:
    """Links of one process; entries reach each other through `network`."""

    def __init__(self, network: dict, entry_id: str) -> None:
        self._network = network
        send, self._receive = anyio.create_memory_object_stream(1_000)
        network[entry_id] = send

    def subscribe(self, *message_types: type) -> Any:
        return self._receive

    async def request(
        self, entry_id: ids.EntryId, message: object, timeout_s: float
    ) -> Any:
        if entry_id not in self._network:
            return errors.Failure(errors.ErrorKind.CUT_OFF, "no link")
        done, replies = anyio.Event(), []

        def reply(answer: object) -> None:
            replies.append(answer)
            done.set()

        self._network[entry_id].send_nowait(_Received(message, reply))
        await done.wait()
        return replies[0]


def _authenticate(
    headers: list[tuple[bytes, bytes]],
) -> settings.Token | None:
    """Parses "FIRM/NAME" as the caller's token, which is optional."""
    value = dict(headers).get(b"authorization")
    if value is None:
        return None
    firm, _, name = value.decode().partition("/")
    return settings.Token(
        sha256="0" * 64,
        name=name,
        role=settings.Role.CALLER,
        firm=firm,
        services=("bidding",),
    )


class ClaimsTest(unittest.TestCase):
    """Guards against a request with a key that runs twice or not at all."""

    @classmethod
    def setUpClass(cls) -> None:
        folder = cls.enterClassContext(tempfile.TemporaryDirectory())
        cls._log_file = pathlib.Path(folder) / "runs"
        for name, address in _UPSTREAMS.items():
            arguments = ["--upstream-id", name, "--address", address]
            arguments += ["--service", "bidding"]
            arguments += ["--log-file", str(cls._log_file)]
            cls.enterClassContext(rig.run_standin(*arguments))

    def setUp(self) -> None:
        self._log = _Log()
        self._network: dict[str, Any] = {}
        self._directories = {name: rig.Directory() for name in _ENTRIES}

    def _run(self, test: Callable[[], Awaitable], **sections: Any) -> None:
        async def run() -> None:
            with anyio.fail_after(30):
                async with contextlib.AsyncExitStack() as stack:
                    for name in _ENTRIES:
                        await stack.enter_async_context(
                            self._entry(name, **sections)
                        )
                    await test()

        anyio.run(run)

    @contextlib.asynccontextmanager
    async def _entry(
        self, name: str, **sections: Any
    ) -> AsyncIterator[caller_api.CallerApi]:
        upstreams = rig.Upstreams()
        for upstream, address in _UPSTREAMS.items():
            upstreams.add("bidding", upstream, address, slots=128)
        store = claims.Claims(
            builders.build_settings(entry_id=name, **sections),
            timer.TimerService(),
            self._log,
            _Links(self._network, name),
        )
        async with anyio.create_task_group() as group:
            group.start_soon(store.run)
            async with rig.run_entry(
                _ENTRIES[name],
                upstreams,
                claim_store=store,
                directory=self._directories[name],
                authenticate=_authenticate,
            ) as api:
                yield api
            group.cancel_scope.cancel()

    def _runs(self, key: str) -> int:
        lines = self._log_file.read_text().splitlines()
        fields = [json.loads(line) for line in lines]
        return sum(
            line["event"] == "run" and line["key"] == key for line in fields
        )

    async def _bid(
        self, entry: str, key: str, body: bytes = b"100", **headers: str
    ) -> rig.Reply:
        named = {k.replace("_", "-"): v for k, v in headers.items()}
        named["Idempotency-Key"] = key
        async with contextlib.aclosing(rig.Caller(_ENTRIES[entry])) as caller:
            return await caller.request("POST", _URL, named, body)

    def test_hundred_simultaneous_resends_run_once(self) -> None:
        """Guards against two entries that run the same bid."""
        replies: list[rig.Reply] = []

        async def bid(number: int) -> None:
            entry = f"entry-{number % 2 + 1}"
            reply = await self._bid(entry, "many", x_standin_delay_ms="50")
            replies.append(reply)

        async def check() -> None:
            async with anyio.create_task_group() as group:
                for number in range(100):
                    group.start_soon(bid, number)
            # The stored answer reaches resends through both entries.
            for entry in _ENTRIES:
                replies.append(await self._bid(entry, "many"))

        self._run(check)
        self.assertEqual(self._runs("many"), 1)
        answered = [reply for reply in replies if reply.status == 200]
        self.assertEqual(len({reply.body for reply in answered}), 1)
        self.assertGreaterEqual(len(answered), 3)
        for reply in replies:
            if reply.status != 200:
                self.assertEqual(reply.status, 409)
                self.assertEqual(reply.outcome, "unknown")

    def test_callers_do_not_share_keys(self) -> None:
        """Guards against one caller that receives another one's answer."""
        callers = ("hakata/web", "hakata/app", "rival/web")

        async def check() -> None:
            for caller in callers:
                reply = await self._bid("entry-1", "same", Authorization=caller)
                self.assertEqual(reply.status, 200)

        self._run(check)
        self.assertEqual(self._runs("same"), len(callers))

    def test_resend_through_an_entry_that_is_behind_runs_once(self) -> None:
        """Guards against a second run under a claim of another scope.

        One entry has not applied the record that names the service's owner.
        """
        self._directories["entry-1"] = rig.Directory(owner=None)

        async def check() -> None:
            first = await self._bid("entry-1", "behind")
            second = await self._bid("entry-2", "behind")
            self.assertEqual((first.status, second.status), (200, 200))
            self.assertEqual(first.body, second.body)

        self._run(check)
        self.assertEqual(self._runs("behind"), 1)

    def test_failure_of_the_log_keeps_its_kind(self) -> None:
        """Guards against a definite failure that is reported as undecided."""
        self._log.refusal = errors.Failure(
            errors.ErrorKind.NO_LEADER, "no leader is known"
        )

        async def check() -> None:
            reply = await self._bid("entry-1", "refused")
            self.assertEqual(reply.status, 503)
            self.assertEqual(reply.outcome, "not-run")
            self.assertEqual(reply.json["error"], "no_leader")

        self._run(check)
        self.assertEqual(self._runs("refused"), 0)

    def test_other_request_under_a_used_key_is_refused(self) -> None:
        """Guards against answering a bid with the answer of another bid."""

        async def check() -> None:
            await self._bid("entry-1", "reused")
            reply = await self._bid("entry-2", "reused", b"999")
            self.assertEqual((reply.status, reply.outcome), (422, "not-run"))

        self._run(check)
        self.assertEqual(self._runs("reused"), 1)

    def test_refused_request_releases_its_claim(self) -> None:
        """Guards against a key that stays claimed although nothing ran."""

        async def check() -> None:
            reply = await self._bid(
                "entry-1", "refused", x_standin_fault="refuse"
            )
            self.assertEqual((reply.status, reply.outcome), (503, "not-run"))
            reply = await self._bid("entry-2", "refused")
            self.assertEqual(reply.status, 200)

        self._run(check)
        self.assertEqual(self._runs("refused"), 1)

    def test_unknown_outcome_keeps_the_claim(self) -> None:
        """Guards against running a bid twice after a connection reset."""

        async def check() -> None:
            reply = await self._bid(
                "entry-1", "reset", x_standin_fault="reset-before-answer"
            )
            self.assertEqual((reply.status, reply.outcome), (502, "unknown"))
            for entry in _ENTRIES:
                reply = await self._bid(entry, "reset")
                self.assertEqual(reply.status, 409)
                self.assertEqual(reply.outcome, "unknown")

        self._run(check)
        self.assertEqual(self._runs("reset"), 1)

    def test_cut_off_entry_refuses_keys_only(self) -> None:
        """Guards against a keyed run that the majority doesn't know of."""

        async def check() -> None:
            self._log.cut_off_since_ms = 1
            reply = await self._bid("entry-1", "cut")
            self.assertEqual((reply.status, reply.outcome), (503, "not-run"))
            self.assertIn("retry-after", reply.headers)
            async with contextlib.aclosing(
                rig.Caller(_ENTRIES["entry-1"])
            ) as caller:
                reply = await caller.request("POST", _URL, {}, b"1")
            self.assertEqual(reply.status, 200)

        self._run(check)
        self.assertEqual(self._runs("cut"), 0)

    def test_undecided_claim_does_not_run_and_is_released(self) -> None:
        """Guards against a key that stays claimed after a lost reply."""

        async def check() -> None:
            self._log.lost_replies = 1
            reply = await self._bid("entry-1", "lost")
            self.assertEqual((reply.status, reply.outcome), (504, "not-run"))
            self.assertEqual(self._runs("lost"), 0)
            status = 409
            while status == 409:
                await anyio.sleep(0.05)
                status = (await self._bid("entry-2", "lost")).status
            self.assertEqual(status, 200)

        self._run(check)
        self.assertEqual(self._runs("lost"), 1)

    def test_bid_runs_to_its_end_when_the_caller_disconnects(self) -> None:
        """Guards against losing the answer that a later resend asks for."""

        async def check() -> None:
            headers = {"Idempotency-Key": "gone", "X-Standin-Delay-Ms": "700"}
            async with contextlib.aclosing(
                rig.Caller(_ENTRIES["entry-1"])
            ) as caller:
                await caller.send_request("POST", _URL, headers, b"100")
                while not self._runs("gone"):
                    await anyio.sleep(0.05)
            status = 409
            while status == 409:
                await anyio.sleep(0.05)
                status = (await self._bid("entry-2", "gone")).status
            self.assertEqual(status, 200)

        self._run(check)
        self.assertEqual(self._runs("gone"), 1)

    def test_request_that_times_out_unsent_leaves_no_claim(self) -> None:
        """Guards against a key that stays claimed by a request never sent."""

        async def check() -> None:
            reply = await self._bid(
                "entry-1", "early", tarragoncleat_deadline_ms="2"
            )
            self.assertEqual((reply.status, reply.outcome), (503, "not-run"))
            status = 409
            while status == 409:
                await anyio.sleep(0.05)
                status = (await self._bid("entry-2", "early")).status
            self.assertEqual(status, 200)

        self._run(check)
        self.assertEqual(self._runs("early"), 1)


if __name__ == "__main__":
    unittest.main()
