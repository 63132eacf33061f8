"""Tests of the whole system, with real processes behind fault proxies."""

import collections
import signal
import threading
from typing import Any
import unittest
import uuid

import anyio

from tarragoncleat.kernel import errors
from tests import system_rig

_ZONES = {"fukuoka-a": 2, "kumamoto": 1, "kagoshima": 1}
_PROFILE = {
    "firm": "hakata-kobo",
    "owed": {"instances": 1},
    "tolerance": {"max_out": 1},
}


def _add_service(system: system_rig.System, name: str) -> None:
    system.put(name, "profiles/bids", _PROFILE)
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
        async with system_rig.run_system(1, _ZONES) as system:
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
        async with system_rig.run_system(2, _ZONES) as system:
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
            self.assertLessEqual(max(runs.values()), 1)
            for key, reply in zip(keys, replies, strict=True):
                if reply.status != 200 and reply.outcome == "not-run":
                    self.assertEqual(runs[key], 0)

    async def test_stop_under_load_cuts_no_request(self) -> None:
        """Guards against a planned stop that aborts requests in flight.

        The signal is sent twice.
        """
        async with system_rig.run_system(3, _ZONES) as system:
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
        async with system_rig.run_system(4, _ZONES) as system:
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
            refused = system.put(isolated, "profiles/late", _PROFILE)
            self.assertIsInstance(refused, errors.Failure)
            system.put(system.names[0], "profiles/new", _PROFILE)
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


class ConfigurationTest(unittest.IsolatedAsyncioTestCase):
    """Guards against accepted changes that are lost, repeated or reverted."""

    async def test_changes_survive_kills_of_leader_and_majority(self) -> None:
        """Guards against the loss of an acknowledged change.

        Two writers run while the leader, and then two replicas, are killed.
        """
        async with system_rig.run_system(5, _ZONES) as system:
            accepted: list[str] = []
            unknown: list[tuple[str, str]] = []
            stop = threading.Event()

            def change(writer: int) -> None:
                number = 0
                while not stop.is_set():
                    number += 1
                    name = f"p-{writer}-{number}"
                    command = uuid.uuid4().hex
                    at = system.names[(writer + number) % len(system.names)]
                    done = system.put(
                        at, f"profiles/{name}", _PROFILE, command_id=command
                    )
                    if done:
                        accepted.append(name)
                    elif done.kind is errors.ErrorKind.UNDECIDED:
                        unknown.append((name, command))

            async with anyio.create_task_group() as group:
                for writer in range(2):
                    group.start_soon(anyio.to_thread.run_sync, change, writer)
                await system_rig.wait_until(
                    lambda: len(accepted) > 10, "first changes"
                )
                leader = await system_rig.wait_until(system.leader, "leader")
                system.kill(leader)
                after = len(accepted) + 10
                await system_rig.wait_until(
                    lambda: len(accepted) > after, "changes without leader"
                )
                system.start(leader)
                replicas = [n for n in system.names if n.endswith("-1")]
                system.kill(*replicas[:2])
                await anyio.sleep(0.5)
                system.start(*replicas[:2])
                later = len(accepted) + 10
                await system_rig.wait_until(
                    lambda: len(accepted) > later, "changes after restart"
                )
                stop.set()
            for name in system.names:
                shown = await system_rig.wait_until(
                    lambda name=name: _profiles(system, name), "profiles"
                )
                self.assertLessEqual(set(accepted), shown)
            self._check_unknown(system, unknown)

    def _check_unknown(
        self, system: system_rig.System, unknown: list[tuple[str, str]]
    ) -> None:
        """Checks that the result of a Command-Id agrees with the state."""
        present = _profiles(system, system.names[1])
        for name, command in unknown:
            result = system.get(system.names[1], f"commands/{command}")
            self.assertEqual(bool(result), name in present)

    async def test_racing_operators_and_resent_commands(self) -> None:
        """Guards against two accepted writes on one revision.

        Also guards against a resent command that is applied again after a
        failover.
        """
        async with system_rig.run_system(6, _ZONES) as system:
            first = system.put(
                system.names[0], "profiles/bids", _PROFILE, command_id="cmd-1"
            )
            results: list[Any] = []

            async def race(name: str, settle_s: int) -> None:
                body = {**_PROFILE, "settle_s": settle_s}
                results.append(
                    await anyio.to_thread.run_sync(
                        lambda: system.put(
                            name,
                            "profiles/bids",
                            body,
                            if_match=first["revision"],
                        )
                    )
                )

            async with anyio.create_task_group() as group:
                for index, name in enumerate(system.names):
                    group.start_soon(race, name, 100 + index)
            failures = [r for r in results if isinstance(r, errors.Failure)]
            self.assertEqual(len(failures), len(results) - 1)
            for failure in failures:
                self.assertIs(failure.kind, errors.ErrorKind.CONFLICT)
                self.assertIn("settle_s", str(failure.detail))
            leader = await system_rig.wait_until(system.leader, "leader")
            system.kill(leader)
            other = next(name for name in system.names if name != leader)
            again = await system_rig.wait_until(
                lambda: system.put(
                    other, "profiles/bids", _PROFILE, command_id="cmd-1"
                ),
                "answer to the resent command",
            )
            self.assertEqual(again["revision"], first["revision"])
            shown = system.get(other, "profiles/bids")["item"]
            self.assertGreaterEqual(shown["settle_s"], 100)

    async def test_process_away_for_500_changes_catches_up(self) -> None:
        """Guards against restarted replicas or learners with old state."""
        extra_settings = "\n[consensus]\nsnapshot_every_records = 100\n"
        async with system_rig.run_system(7, _ZONES, extra_settings) as system:
            leader = await system_rig.wait_until(system.leader, "leader")
            replica = next(
                n for n in system.names if n.endswith("-1") and n != leader
            )
            stopped_entries = (replica, "fukuoka-a-2")
            for name in stopped_entries:
                await anyio.to_thread.run_sync(system.kill, name)
            running_entries = [
                name for name in system.names if name not in stopped_entries
            ]

            def change() -> int:
                for number in range(500):
                    body = {**_PROFILE, "settle_s": number}
                    done = system.put(
                        running_entries[number % 2], "profiles/bids", body
                    )
                    assert done, done
                return int(done["revision"])

            last = await anyio.to_thread.run_sync(change)
            system.start(*stopped_entries)
            for name in stopped_entries:
                shown = await system_rig.wait_until(
                    lambda name=name: system.get(name, "profiles/bids"),
                    f"committed read at {name}",
                )
                self.assertEqual(shown["item"]["revision"], last)
                self.assertEqual(shown["item"]["settle_s"], 499)


def _profiles(system: system_rig.System, name: str) -> set[str]:
    with system.admin(name) as client:
        items = client.get_all("profiles")
    if isinstance(items, errors.Failure):
        return set()
    return {item["profile_id"] for item in items}


if __name__ == "__main__":
    unittest.main()
