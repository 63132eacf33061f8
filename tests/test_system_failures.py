"""Tests of leaving upstreams, frozen leaders and waves under failures."""

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
_ZONES = {"fukuoka-a": 2, "kumamoto": 1, "kagoshima": 1}
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
    """Guards against work for an upstream that said it is leaving."""

    async def test_leave_told_to_an_entry_that_dies_at_once(self) -> None:
        async with system_rig.running(8, _ZONES) as system:
            told = system.names[0]
            _add_service(system, told, owed=1)
            # A leaving upstream doesn't renew; a long lease shows that the
            # notice and not the end of the lease stops the traffic.
            system.start_upstream("going", "fukuoka-a", "--lease-ms", "20000")
            system.start_upstream("staying", "kumamoto")
            for name in system.names:
                await system_rig.wait_until(
                    lambda name=name: _live_upstreams(system, name) == 2,
                    f"both upstreams at {name}",
                )
            await anyio.to_thread.run_sync(
                _leave, system.address(told), "going"
            )
            system.kill(told)
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
    """Guards against a leader that was frozen and still acts as one."""

    async def test_thawed_leader_reads_and_writes_nothing_old(self) -> None:
        async with system_rig.running(9, _ZONES) as system:
            frozen = await system_rig.wait_until(system.leader, "leader")
            others = [name for name in system.names if name != frozen]
            _add_service(system, others[0], owed=1)
            system.signal(frozen, signal.SIGSTOP)
            body = {"firm": _FIRM, "owed": {"instances": 1}, "settle_s": 7}
            changed = await system_rig.wait_until(
                lambda: system.put(others[0], "profiles/bids", body),
                "change without the frozen leader",
            )
            # Cut off, the thawed leader can learn nothing from the others, so
            # that only its own read barrier keeps it from answering.
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
    """Guards against a replica that forgot what it acknowledged and votes."""

    async def test_accepted_change_outlives_a_lost_disk(self) -> None:
        async with system_rig.running(11, _ZONES) as system:
            leader = await system_rig.wait_until(system.leader, "leader")
            replicas = [n for n in system.names if n.endswith("-1")]
            wiped, away = (name for name in replicas if name != leader)
            body = {"firm": _FIRM, "owed": {"instances": 1}}
            system.kill(away)
            kept = await system_rig.wait_until(
                lambda: system.put(leader, "profiles/kept", body), "change"
            )
            # Only the leader and the wiped replica hold the change. Without
            # its disk, the latter must not form a majority with `away`.
            system.kill(leader, wiped)
            shutil.rmtree(system.folder / wiped)
            system.start(wiped, away)
            await anyio.sleep(4)
            refused = await anyio.to_thread.run_sync(
                lambda: system.put(away, "profiles/other", body)
            )
            self.assertIsInstance(refused, errors.Failure)
            system.start(leader)
            for name in replicas:
                shown = await system_rig.wait_until(
                    lambda name=name: system.get(name, "profiles/kept"),
                    f"the change at {name}",
                )
                self.assertEqual(shown["item"]["revision"], kept["revision"])
            # The replica without its history is admitted again, so that the
            # loss of another one can be borne.
            await system_rig.wait_until(
                lambda: _is_member(system, wiped), "admission"
            )
            await anyio.to_thread.run_sync(system.kill, leader)
            await system_rig.wait_until(
                lambda: system.put(away, "profiles/other", body),
                "change without the first leader",
            )
            # A second disk lost right after the first repair.
            shutil.rmtree(system.folder / leader)
            system.start(leader)
            await system_rig.wait_until(
                lambda: _is_member(system, leader), "second admission"
            )
            shown = await system_rig.wait_until(
                lambda: system.get(leader, "profiles/kept"), "the change"
            )
            self.assertEqual(shown["item"]["revision"], kept["revision"])


class RetiredReplicaTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a majority that counts a replica which was retired."""

    async def test_change_commits_without_the_removed_replica(self) -> None:
        async with system_rig.running(12, _ZONES) as system:
            leader = await system_rig.wait_until(system.leader, "leader")
            replicas = [n for n in system.names if n.endswith("-1")]
            removed, other = (name for name in replicas if name != leader)
            body = {"firm": _FIRM, "owed": {"instances": 1}}
            await system_rig.wait_until(
                lambda: _post(system, leader, f"replicas/{removed}/remove"),
                "removal",
            )
            # The other two are a majority of themselves, not of three.
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
                lambda: _post(
                    system, system.leader() or leader, f"replicas/{removed}/add"
                ),
                "return of the replica",
            )
            shown = await system_rig.wait_until(
                lambda: system.get(removed, "profiles/kept"), "the change"
            )
            self.assertEqual(shown["item"]["firm"], _FIRM)


def _post(system: system_rig.System, name: str, path: str) -> bool:
    with system.admin(name) as client:
        return bool(client.send_command("POST", path))


def _is_member(system: system_rig.System, name: str) -> bool:
    state = system.get(name, "state", consistency="local")
    return bool(state) and state["replication"]["admission"] == "member"


class WaveTest(unittest.IsolatedAsyncioTestCase):
    """Guards availability budgets while a rack is lost during a wave."""

    async def test_rack_lost_during_a_wave(self) -> None:
        async with system_rig.running(10, _ZONES) as system:
            entry = system.names[0]
            _add_service(system, entry, owed=_OWED)
            workers = _Workers(system, entry)
            try:
                workers.start(range(6))
                system.put(entry, "waves/w", _WAVE)
                _give(system, entry, "waves/w/approve")
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
        """Replays the ledger: no step may break the profile's floor."""
        lost: set[str] = set()
        out: set[str] = set()
        taken = 0
        for entry in ledger:
            name, kind = entry["instance_id"], entry["kind"]
            if kind == "loss":
                lost.add(name)
                out.discard(name)
            elif kind == "return" and entry["amount"]:
                lost.discard(name)
                out.discard(name)
            elif kind == "wave_step" and entry["amount"]:
                taken += 1
                out.add(name)
                self.assertLessEqual(len(out), _MAX_OUT)
                self.assertGreaterEqual(
                    6 - len(out | lost), _OWED - _MAX_OUT, entry
                )
        self.assertGreaterEqual(taken, 4)


_WAVE = {"firm": _FIRM, "selection": {"pools": ["bidders"]}}


def _give(system: system_rig.System, name: str, path: str) -> Any:
    with system.admin(name) as client:
        reply = client.send_command("POST", path)
    assert reply, reply
    return reply


def _wave(system: system_rig.System, name: str) -> dict:
    shown = system.get(name, "waves/w")
    assert not isinstance(shown, errors.Failure), shown
    return shown["item"]


def _in_state(system: system_rig.System, name: str, state: str) -> list[str]:
    with system.admin(name) as client:
        items = client.get_all("instances")
    assert not isinstance(items, errors.Failure), items
    return [i["instance_id"] for i in items if i["state"] == state]


class _Workers:
    """Stand-in workers, two to a rack."""

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
