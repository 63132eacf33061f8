"""Tests of callers' requests with real processes behind fault proxies."""

import collections
import signal
from typing import Any
import unittest

import anyio

from tarragoncleat.kernel import errors
from tests import system_rig

# On a busy machine a claim may stay undecided for longer than by default, and
# its request is then answered as not run.
_PATIENT_SETTINGS = """
[claims]
timeout_ms = 20000

[routing]
default_deadline_ms = 60000
"""


def _add_service(system: system_rig.System, name: str) -> None:
    system.put(name, "profiles/bids", system_rig.PROFILE)
    system.put(name, "pools/bidders", {"firm": "hakata-kobo"})
    body = {"firm": "hakata-kobo", "profile_id": "bids", "pool_id": "bidders"}
    added = system.put(name, "services/bidding", body)
    assert added, added


def _has_upstreams(system: system_rig.System, name: str, count: int) -> bool:
    state = system.get(name, "state", consistency="local")
    return bool(state) and state["membership"]["live_records"] >= count


def _runs_by_key(system: system_rig.System) -> collections.Counter[str]:
    return collections.Counter(record["key"] for record in system.runs())


class CallerPathTest(unittest.IsolatedAsyncioTestCase):
    """Guards against repeated or lost requests while entries fail."""

    async def test_one_key_through_all_entries_runs_once(self) -> None:
        """Guards against claims that aren't visible to other entries."""
        async with system_rig.run_system(
            1, system_rig.ZONES, _PATIENT_SETTINGS
        ) as system:
            _add_service(system, system.names[0])
            system.start_upstream("up-1", "fukuoka-a", "--delay-ms", "200")
            for name in system.names:
                await system_rig.wait_until(
                    lambda name=name: _has_upstreams(system, name, 1),
                    f"upstream at {name}",
                )
            statuses: list[int] = []

            async def send(index: int) -> None:
                name = system.names[index % len(system.names)]
                reply = await system.call(
                    name, "/services/bidding/bid", Idempotency_Key="key-1"
                )
                statuses.append(reply.status)

            async with anyio.create_task_group() as group:
                for index in range(100):
                    group.start_soon(send, index)
            self.assertEqual(_runs_by_key(system)["key-1"], 1)
            self.assertEqual(len(statuses), 100)
            self.assertIn(200, statuses)
            self.assertLessEqual(set(statuses), {200, 409})

    async def test_resend_after_entry_was_killed_runs_once(self) -> None:
        """Guards against a claim that is lost with the entry that made it."""
        async with system_rig.run_system(2, system_rig.ZONES) as system:
            first, second = system.names[0], system.names[2]
            _add_service(system, first)
            system.start_upstream("up-1", "fukuoka-a", "--delay-ms", "400")
            for name in (first, second):
                await system_rig.wait_until(
                    lambda name=name: _has_upstreams(system, name, 1),
                    f"upstream at {name}",
                )
            keys = [f"key-{number}" for number in range(8)]

            async def send(name: str, key: str) -> Any:
                try:
                    return await system.call(
                        name, "/services/bidding/bid", Idempotency_Key=key
                    )
                except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
                    return None

            async with anyio.create_task_group() as group:
                for key in keys:
                    group.start_soon(send, first, key)
                await system_rig.wait_until(
                    lambda: len(system.runs()) >= 4, "requests in flight"
                )
                system.kill(first)
            replies = []
            await system_rig.wait_until(system.leader, "leader")
            for key in keys:
                replies.append(await send(second, key))
            runs = _runs_by_key(system)
            self.assertLessEqual(max(runs.values()), 1, system.runs())
            for key, reply in zip(keys, replies, strict=True):
                if reply.status != 200 and reply.outcome == "not-run":
                    self.assertEqual(runs[key], 0)

    async def test_stop_under_load_cuts_no_request(self) -> None:
        """Guards against a planned stop that aborts requests in flight.

        The signal is sent twice.
        """
        async with system_rig.run_system(3, system_rig.ZONES) as system:
            stopped = system.names[1]
            _add_service(system, stopped)
            system.start_upstream("up-1", "fukuoka-a", "--delay-ms", "300")
            await system_rig.wait_until(
                lambda: _has_upstreams(system, stopped, 1), "upstream"
            )
            replies = []

            async def send() -> None:
                replies.append(
                    await system.call(stopped, "/services/bidding/lot")
                )

            async with anyio.create_task_group() as group:
                for _ in range(8):
                    group.start_soon(send)
                await system_rig.wait_until(system.runs, "request in flight")
                system.signal(stopped, signal.SIGTERM)
                system.signal(stopped, signal.SIGTERM)
            status = await anyio.to_thread.run_sync(system.wait_exit, stopped)
            self.assertEqual(status, 0)
            self.assertEqual([reply.status for reply in replies], [200] * 8)

    async def test_cut_off_zone_serves_but_decides_nothing(self) -> None:
        """Guards against split brain, and a cut-off zone that stops serving.

        It must not accept changes or claims that the majority may contradict.
        """
        async with system_rig.run_system(4, system_rig.ZONES) as system:
            isolated = system.names[3]
            _add_service(system, system.names[0])
            system.start_upstream("up-1", "kagoshima")
            await system_rig.wait_until(
                lambda: _has_upstreams(system, isolated, 1), "upstream"
            )
            before = system.get(isolated, "configuration")["revision"]
            system.cut_off([isolated])
            state = await system_rig.wait_until(
                lambda: _cut_off_state(system, isolated),
                "detection of the partition",
            )
            self.assertGreater(state["cut_off_since_ms"], 0)
            plain = await system.call(isolated, "/services/bidding/lot")
            self.assertEqual(plain.status, 200)
            keyed = await system.call(
                isolated, "/services/bidding/bid", Idempotency_Key="key-cut"
            )
            self.assertEqual((keyed.status, keyed.outcome), (503, "not-run"))
            refused = system.put(isolated, "profiles/late", system_rig.PROFILE)
            self.assertIsInstance(refused, errors.Failure)
            system.put(system.names[0], "profiles/new", system_rig.PROFILE)
            system.heal()
            shown = await system_rig.wait_until(
                lambda: system.get(isolated, "profiles/new"),
                "new configuration",
            )
            self.assertGreater(shown["item"]["revision"], before)
            self.assertEqual(_runs_by_key(system)["key-cut"], 0)
            self.assertFalse(system.get(isolated, "profiles/late"))


def _cut_off_state(system: system_rig.System, name: str) -> Any:
    state = system.get(name, "state", consistency="local")
    return state if state and state["cut_off_since_ms"] else None


if __name__ == "__main__":
    unittest.main()
