"""Tests of upstreams, replicas and waves under failures."""

import pathlib
import shutil
import signal
import subprocess
import sys
from typing import Any
import unittest
import urllib.request

import anyio

from tarragoncleat.kernel import errors
from tests import system_rig

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_FIRM = "hakata-kobo"
_LEAVE_BOUND_S = 2.0
_MAX_OUT = 2
_OWED = 4


def _add_service(system: system_rig.System, name: str, owed: int) -> None:
    tolerance = {"max_out": min(owed, _MAX_OUT), "max_out_s": 5}
    profile = {
        "firm": _FIRM,
        "owed": {"instances": owed},
        "tolerance": tolerance,
        "settle_s": 1,
    }
    system.put(name, "profiles/bids", profile)
    system.put(name, "pools/bidders", {"firm": _FIRM})
    body = {"firm": _FIRM, "profile_id": "bids", "pool_id": "bidders"}
    added = system.put(name, "services/bidding", body)
    assert added, added


def _leave(address: str, upstream_id: str) -> int:
    request = urllib.request.Request(
        f"http://{address}/upstreams/{upstream_id}", method="DELETE"
    )
    with urllib.request.urlopen(request, timeout=5) as answer:
        return answer.status


class LeavingUpstreamTest(unittest.IsolatedAsyncioTestCase):
    """Guards against requests for an upstream that announced its leave."""

    async def test_leave_survives_the_entry_that_received_it(self) -> None:
        """Guards against a leave that is lost with the entry.

        The entry is killed right after it acknowledged the leave.
        """
        async with system_rig.run_system(8, system_rig.ZONES) as system:
            notified_entry = system.names[0]
            _add_service(system, notified_entry, owed=1)
            # A leaving upstream doesn't renew its lease; one that does is back
            # in use. The lease is long, so that the leave stops the traffic
            # rather than the lease expiry.
            lease = ("--lease-ms", "20000", "--announce-once")
            system.start_upstream("going", "fukuoka-a", *lease)
            system.start_upstream("staying", "kumamoto")
            for name in system.names:
                await system_rig.wait_until(
                    lambda name=name: _live_upstreams(system, name) == 2,
                    f"both upstreams at {name}",
                )
            await anyio.to_thread.run_sync(
                _leave, system.address(notified_entry), "going"
            )
            system.kill(notified_entry)
            await anyio.sleep(_LEAVE_BOUND_S)
            before = _runs_of(system, "going")
            for index in range(60):
                name = system.names[1 + index % 3]
                reply = await system.call(name, "/services/bidding/lot")
                self.assertEqual(reply.status, 200)
            self.assertEqual(_runs_of(system, "going"), before)


def _live_upstreams(system: system_rig.System, name: str) -> int:
    state = system.get(name, "state", consistency="local")
    return state["membership"]["live_records"] if state else 0


def _runs_of(system: system_rig.System, upstream_id: str) -> int:
    return sum(run["upstream"] == upstream_id for run in system.runs())


class FrozenLeaderTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a frozen leader that resumes and acts as leader."""

    async def test_resumed_leader_serves_no_stale_state(self) -> None:
        """Guards against stale reads and writes of a deposed leader."""
        async with system_rig.run_system(9, system_rig.ZONES) as system:
            frozen = await system_rig.wait_until(system.leader, "leader")
            others = [name for name in system.names if name != frozen]
            _add_service(system, others[0], owed=1)
            system.signal(frozen, signal.SIGSTOP)
            body = {"firm": _FIRM, "owed": {"instances": 1}, "settle_s": 7}
            changed = await system_rig.wait_until(
                lambda: system.put(others[0], "profiles/bids", body),
                "change without the frozen leader",
            )
            # While it is cut off, the resumed leader can't learn of the new
            # term, so only its own read barrier prevents an answer.
            system.cut_off([frozen])
            system.signal(frozen, signal.SIGCONT)
            for _ in range(2):
                shown = await anyio.to_thread.run_sync(
                    lambda: system.get(frozen, "profiles/bids")
                )
                self.assertIsInstance(shown, errors.Failure)
            system.heal()
            await system_rig.wait_until(
                lambda: system.get(frozen, "profiles/bids"), "contact again"
            )
            for _ in range(20):
                shown = await anyio.to_thread.run_sync(
                    lambda: system.get(frozen, "profiles/bids")
                )
                self.assertNotIsInstance(shown, errors.Failure)
                self.assertEqual(shown["item"]["settle_s"], 7)
            stale = await anyio.to_thread.run_sync(
                lambda: system.put(
                    frozen,
                    "profiles/bids",
                    body,
                    if_match=changed["revision"] - 1,
                )
            )
            self.assertIsInstance(stale, errors.Failure)


class LostDiskTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a vote of a replica that lost what it acknowledged."""

    async def test_accepted_change_survives_a_lost_disk(self) -> None:
        """Guards against a majority that lacks an acknowledged change."""
        async with system_rig.run_system(11, system_rig.ZONES) as system:
            leader = await system_rig.wait_until(system.leader, "leader")
            replicas = [n for n in system.names if n.endswith("-1")]
            wiped, lagging = (name for name in replicas if name != leader)
            body = {"firm": _FIRM, "owed": {"instances": 1}}
            system.kill(lagging)
            change = await system_rig.wait_until(
                lambda: system.put(leader, "profiles/kept", body), "change"
            )
            # Only the leader and the wiped replica have the change. Without its
            # disk, the latter must not form a majority with `lagging`.
            system.kill(leader, wiped)
            shutil.rmtree(system.folder / wiped)
            system.start(wiped, lagging)
            await anyio.sleep(4)
            refused = await anyio.to_thread.run_sync(
                lambda: system.put(lagging, "profiles/other", body)
            )
            self.assertIsInstance(refused, errors.Failure)
            system.start(leader)
            for name in replicas:
                shown = await system_rig.wait_until(
                    lambda name=name: system.get(name, "profiles/kept"),
                    f"the change at {name}",
                )
                self.assertEqual(shown["item"]["revision"], change["revision"])
            # The wiped replica is admitted again, so that the loss of another
            # replica can be tolerated.
            await system_rig.wait_until(
                lambda: _is_member(system, wiped), "admission"
            )
            await anyio.to_thread.run_sync(system.kill, leader)
            await system_rig.wait_until(
                lambda: system.put(lagging, "profiles/other", body),
                "change without the first leader",
            )
            # A second disk is lost right after the first repair.
            shutil.rmtree(system.folder / leader)
            system.start(leader)
            await system_rig.wait_until(
                lambda: _is_member(system, leader), "second admission"
            )
            shown = await system_rig.wait_until(
                lambda: system.get(leader, "profiles/kept"), "the change"
            )
            self.assertEqual(shown["item"]["revision"], change["revision"])


class RetiredReplicaTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a majority that counts a removed replica."""

    async def test_change_commits_without_the_removed_replica(self) -> None:
        """Guards against a removal that doesn't change the majority."""
        async with system_rig.run_system(12, system_rig.ZONES) as system:
            leader = await system_rig.wait_until(system.leader, "leader")
            replicas = [n for n in system.names if n.endswith("-1")]
            removed, other = (name for name in replicas if name != leader)
            body = {"firm": _FIRM, "owed": {"instances": 1}}
            await system_rig.wait_until(
                lambda: _try_post(system, leader, f"replicas/{removed}/remove"),
                "removal",
            )
            # The majority is now two of two replicas, not two of three.
            await anyio.to_thread.run_sync(system.kill, removed)
            system.put(leader, "profiles/kept", body)
            system.kill(other)
            refused = await anyio.to_thread.run_sync(
                lambda: system.put(leader, "profiles/late", body)
            )
            self.assertIsInstance(refused, errors.Failure)
            system.start(other, removed)
            leader = await system_rig.wait_until(system.leader, "leader")
            await system_rig.wait_until(
                lambda: _try_post(
                    system, system.leader() or leader, f"replicas/{removed}/add"
                ),
                "return of the replica",
            )
            shown = await system_rig.wait_until(
                lambda: system.get(removed, "profiles/kept"), "the change"
            )
            self.assertEqual(shown["item"]["firm"], _FIRM)


def _try_post(system: system_rig.System, name: str, path: str) -> bool:
    with system.admin(name) as client:
        return bool(client.send_command("POST", path))


def _is_member(system: system_rig.System, name: str) -> bool:
    state = system.get(name, "state", consistency="local")
    return bool(state) and state["replication"]["admission"] == "member"


class WaveTest(unittest.IsolatedAsyncioTestCase):
    """Guards against waves that exceed the availability budget."""

    async def test_rack_lost_during_a_wave(self) -> None:
        """Guards against drains that don't count lost instances."""
        async with system_rig.run_system(10, system_rig.ZONES) as system:
            entry = system.names[0]
            _add_service(system, entry, owed=_OWED)
            workers = _Workers(system, entry)
            try:
                workers.start(range(6))
                system.put(entry, "waves/w", _WAVE)
                _post_command(system, entry, "waves/w/approve")
                await system_rig.wait_until(
                    lambda: _wave(system, entry)["out"], "first instance out"
                )
                workers.kill(4, 5)
                await system_rig.wait_until(
                    lambda: len(_in_state(system, entry, "lost")) == 2,
                    "loss of the rack",
                )
                workers.start((4, 5))
                await system_rig.wait_until(
                    lambda: _wave(system, entry)["state"] == "finished",
                    "end of the wave",
                )
            finally:
                workers.stop()
            with system.admin(entry) as client:
                ledger = client.get_all("ledger", {"service": "bidding"})
            assert not isinstance(ledger, errors.Failure), ledger
            self._check_budget(ledger)

    def _check_budget(self, ledger: list[dict]) -> None:
        """Replays the ledger, and checks the budget after each step."""
        lost: set[str] = set()
        out: set[str] = set()
        wave_steps = 0
        for entry in ledger:
            name, kind = entry["instance_id"], entry["kind"]
            if kind == "loss":
                lost.add(name)
                out.discard(name)
            elif kind == "return" and entry["amount"]:
                lost.discard(name)
                out.discard(name)
            elif kind == "wave_step" and entry["amount"]:
                wave_steps += 1
                out.add(name)
                self.assertLessEqual(len(out), _MAX_OUT)
                self.assertGreaterEqual(
                    6 - len(out | lost), _OWED - _MAX_OUT, entry
                )
        self.assertGreaterEqual(wave_steps, 4)


_WAVE = {"firm": _FIRM, "selection": {"pools": ["bidders"]}}


def _post_command(system: system_rig.System, name: str, path: str) -> Any:
    with system.admin(name) as client:
        reply = client.send_command("POST", path)
    assert reply, reply
    return reply


def _wave(system: system_rig.System, name: str) -> dict:
    shown = system.get(name, "waves/w")
    assert not isinstance(shown, errors.Failure), shown
    return shown["item"]


def _in_state(system: system_rig.System, name: str, state: str) -> list[str]:
    """Returns the instances in a state; none while there is no leader."""
    with system.admin(name) as client:
        items = client.get_all("instances")
    if isinstance(items, errors.Failure):
        assert items.kind is errors.ErrorKind.NO_LEADER, items
        return []
    return [i["instance_id"] for i in items if i["state"] == state]


class _Workers:
    """Stand-in workers, two per rack."""

    def __init__(self, system: system_rig.System, entry: str) -> None:
        self._system = system
        self._entry = entry
        self._processes: dict[int, subprocess.Popen] = {}

    def start(self, numbers: Any) -> None:
        for number in numbers:
            address = self._system.spare_address(150 + number)
            name = f"worker-{number}"
            self._processes[number] = subprocess.Popen(
                [
                    *(sys.executable, "-m", "tests.standin_worker"),
                    *("--address", address, "--instance-id", name),
                ],
                cwd=_ROOT,
                stderr=subprocess.DEVNULL,
            )
            body = {
                "pool_id": "bidders",
                "availability_zone": "fukuoka-a",
                "rack": f"rack-{number // 2}",
                "cores": 16,
                "memory_mb": 65_536,
                "accelerators": 0,
                "address": address,
            }
            self._system.put(self._entry, f"instances/{name}", body)

    def kill(self, *numbers: int) -> None:
        for number in numbers:
            process = self._processes.pop(number)
            process.kill()
            process.wait()

    def stop(self) -> None:
        self.kill(*list(self._processes))


if __name__ == "__main__":
    unittest.main()
