"""Tests of configuration changes with real processes behind fault proxies."""

import threading
import time
from typing import Any
import unittest
import uuid

import anyio

from tarragoncleat.kernel import errors
from tests import system_rig

_MAX_SENDS = 10
_SEND_INTERVAL_S = 0.5
# Answers after which an operator sends the same command again.
_REPEATABLE = frozenset(
    {errors.ErrorKind.UNDECIDED, errors.ErrorKind.NO_LEADER}
)


class ConfigurationTest(unittest.IsolatedAsyncioTestCase):
    """Guards against accepted changes that are lost, repeated or reverted."""

    async def test_changes_survive_kills_of_leader_and_majority(self) -> None:
        """Guards against the loss of an acknowledged change.

        Two writers run while the leader, and then two replicas, are killed.
        """
        async with system_rig.run_system(5, system_rig.ZONES) as system:
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
                        at,
                        f"profiles/{name}",
                        system_rig.PROFILE,
                        command_id=command,
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
        async with system_rig.run_system(6, system_rig.ZONES) as system:
            first = system.put(
                system.names[0],
                "profiles/bids",
                system_rig.PROFILE,
                command_id="cmd-1",
            )
            results: list[Any] = []

            async def race(name: str, settle_s: int) -> None:
                body = {**system_rig.PROFILE, "settle_s": settle_s}
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
                    other,
                    "profiles/bids",
                    system_rig.PROFILE,
                    command_id="cmd-1",
                ),
                "answer to the resent command",
            )
            self.assertEqual(again["revision"], first["revision"])
            shown = system.get(other, "profiles/bids")["item"]
            self.assertGreaterEqual(shown["settle_s"], 100)

    async def test_process_away_for_500_changes_catches_up(self) -> None:
        """Guards against restarted replicas or learners with old state."""
        extra_settings = "\n[consensus]\nsnapshot_every_records = 100\n"
        async with system_rig.run_system(
            7, system_rig.ZONES, extra_settings
        ) as system:
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
                    body = {**system_rig.PROFILE, "settle_s": number}
                    entry = running_entries[number % 2]
                    done = _put_until_decided(system, entry, body, number)
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


def _put_until_decided(
    system: system_rig.System, entry: str, body: dict, number: int
) -> dict:
    """Changes a profile; sends the same command again while it is undecided.

    So it does while there is no leader: on a busy machine it may change.
    """
    for _ in range(_MAX_SENDS):
        done = system.put(
            entry, "profiles/bids", body, command_id=f"change-{number}"
        )
        if done or done.kind not in _REPEATABLE:
            break
        time.sleep(_SEND_INTERVAL_S)
    assert done, done
    return done


def _profiles(system: system_rig.System, name: str) -> set[str]:
    with system.admin(name) as client:
        items = client.get_all("profiles")
    if isinstance(items, errors.Failure):
        return set()
    return {item["profile_id"] for item in items}


if __name__ == "__main__":
    unittest.main()
