"""Stand-in executor: one boot of an executor that runs tasks as timers.

It follows the section "Running tasks" of PROTOCOL.md. A job's `spec` is JSON:
`ms` is the length of a run; with `lasts` a run goes on until it is stopped.
Every boot, start and end is written to the events file before it is answered.
"""

import argparse
import asyncio
import http.client
import json
import os
import pathlib
import threading
import time
import uuid

MAX_LISTED_ENDS = 500
MAX_LEASE_MS = 6_000
GANG_TIMEOUT_MS = 3_000
CHECK_IN_S = 1.5


class Executor:
    def __init__(self, options):
        self.options = options
        self.id = "i-" + uuid.uuid4().hex[:10]
        self.lease_ms = 0
        self.has_lease = False
        self.failing = None
        self.fence = 0
        self.running = {}
        self.stopped = {}
        self.ended = []
        self.count = 0
        self.changed = asyncio.Event()
        self.events = open(options.events, "a", buffering=1, encoding="utf-8")
        self.record("boot", pid=os.getpid())

    def record(self, event, **fields):
        row = {"at_s": round(time.monotonic(), 4), "event": event}
        row |= {"executor": self.id, "machine": self.options.machine}
        self.events.write(json.dumps(row | fields) + "\n")

    def clock_ms(self):
        return int(time.monotonic() * 1000)

    def advance(self):
        now_ms = time.monotonic() * 1000
        for task, run in list(self.running.items()):
            if run["gang"]:
                self.advance_gang(task, run, now_ms)
                if task not in self.running:
                    continue
            if run["end_ms"] <= min(now_ms, self.lease_ms):
                self.end(task, run["how"])
            elif self.lease_ms <= now_ms:
                self.end(task, "lapsed")
        if self.has_lease and self.lease_ms <= now_ms:
            self.has_lease = False
            self.record("lease_lapsed")

    def advance_gang(self, task, run, now_ms):
        """Lets a gang work from the moment when all of its tasks are present.

        The tasks of a run find each other by files in a folder, which stands
        for the network between executors. All executors share one clock.
        """
        ended = run["folder"] / "ended"
        if run["end_ms"] < float("inf"):
            if ended.exists() and ended.read_text() != "done":
                self.end(task, "broken")
            return
        present = list(run["folder"].glob("*.present"))
        if len(present) == run["gang"]:
            start_ms = max(float(path.read_text()) for path in present)
            run["start_ms"], run["end_ms"] = start_ms, start_ms + run["ms"]
        elif ended.exists():
            self.end(task, "broken")
        elif now_ms - run["start_ms"] > GANG_TIMEOUT_MS:
            self.end(task, "alone")

    def join_gang(self, task, number, now_ms):
        """Returns the folder of a gang's run after making the task present."""
        step, _, index = task.rpartition(".")
        folder = pathlib.Path(self.options.events).parent / f"{step}.{number}"
        folder.mkdir(exist_ok=True)
        file = folder / f"{index}.new"
        file.write_text(str(now_ms))
        file.rename(folder / f"{index}.present")
        return folder

    def end(self, task, how):
        run = self.running.pop(task)
        if run["gang"]:
            file = run["folder"] / f"{task}.ended"
            file.write_text(how)
            file.rename(run["folder"] / "ended")
        self.stopped[task] = max(self.stopped.get(task, 0), run["run"])
        self.count += 1
        self.ended.append([self.count, task, run["run"], how, ""])
        self.record("end", task=task, run=run["run"], how=how, n=self.count)
        self.changed.set()

    def extend(self, deadline_ms):
        longest_ms = self.clock_ms() + MAX_LEASE_MS
        self.lease_ms = max(self.lease_ms, min(deadline_ms, longest_ms))
        self.has_lease = self.lease_ms > self.clock_ms()

    def answer(self, status, **fields):
        return status, {"clock-ms": self.clock_ms(), **fields}

    async def handle(self, path, headers, body):
        expected = headers.get("expected-instance", "")
        if expected and expected != self.id:
            return 421, {}
        self.advance()
        if path in ("/run-start", "/run-stop") and self.options.fails_for_s:
            failure = await self.fail(path, body)
            if failure:
                return failure
        fence = body.get("fencing-token", 0)
        if fence < self.fence:
            return self.answer(409, reason="fence")
        self.fence = fence
        if path == "/hold":
            return await self.hold(body)
        if path == "/run-start":
            return self.start(body)
        if path == "/run-stop":
            return self.stop(body)
        if path == "/pace":
            return self.answer(200)
        return 404, {}

    async def fail(self, path, body):
        """Fails orders for a while, from the first start on; does nothing.

        The first start gets no answer, the orders after it 503. Status checks,
        check-ins and holds are answered as ever.
        """
        now_s = time.monotonic()
        is_first = self.failing is None
        if is_first and path == "/run-start":
            self.failing = now_s + self.options.fails_for_s
        if self.failing is None or now_s >= self.failing:
            return None
        how = "left unanswered" if is_first else "answered with 503"
        self.record("order_failed", path=path, task=body["task"], how=how)
        if is_first:
            await asyncio.sleep(60)
        return self.answer(503)

    def start(self, body):
        task, run = body["task"], body["run-id"]
        known = self.running.get(task)
        if known is not None and known["run"] == run:
            return self.answer(200)
        if body["deadline-ms"] <= self.clock_ms():
            return self.answer(409, reason="late")
        self.extend(body["deadline-ms"])
        if known is not None or run <= self.stopped.get(task, 0):
            return self.answer(409, reason="old")
        spec = json.loads(body["spec"])
        cpu = spec.get("cpu", 0)
        used = sum(item["cpu"] for item in self.running.values())
        if used + cpu > self.options.cpu:
            return self.answer(409, reason="room")
        now_ms = time.monotonic() * 1000
        length_ms = float("inf") if spec.get("lasts") else spec["ms"]
        self.record("start", task=task, run=run, fence=self.fence)
        self.running[task] = {
            "run": run,
            "cpu": cpu,
            "start_ms": now_ms,
            "end_ms": now_ms + length_ms,
            "gang": spec.get("gang", 0),
            "how": "failed" if run <= spec.get("fails", 0) else "done",
        }
        if spec.get("gang"):
            folder = self.join_gang(task, run, now_ms)
            self.running[task] |= {"folder": folder, "ms": length_ms}
            self.running[task]["end_ms"] = float("inf")
        return self.answer(200)

    def stop(self, body):
        task, run = body["task"], body["run-id"]
        known = self.running.get(task)
        if known is not None and known["run"] <= run:
            self.end(task, "stopped")
        self.stopped[task] = max(self.stopped.get(task, 0), run)
        return self.answer(200)

    async def hold(self, body):
        if "deadline-ms" in body:
            self.extend(body["deadline-ms"])
            self.record("hold", for_ms=self.lease_ms - self.clock_ms())
        cursor = body.get("ack-cursor", 0)
        if self.ended and self.ended[0][0] <= cursor:
            self.ended = [row for row in self.ended if row[0] > cursor]
            self.record("taken_note", up_to=cursor)
        if not self.ended and body.get("wait-ms"):
            self.changed.clear()
            try:
                wait_s = body["wait-ms"] / 1000
                await asyncio.wait_for(self.changed.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
            self.advance()
        rows = [
            [task, run["run"], "", self.percent(run), run["cpu"]]
            for task, run in self.running.items()
        ]
        return self.answer(
            200,
            **{"running-tasks": rows, "ended": self.ended[:MAX_LISTED_ENDS]},
        )

    def percent(self, run):
        elapsed_ms = time.monotonic() * 1000 - run["start_ms"]
        if run["end_ms"] == float("inf"):
            return 100 if elapsed_ms > 700 else 50
        return int(100 * elapsed_ms / (run["end_ms"] - run["start_ms"]))

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *lines = head.decode().split("\r\n")
                headers = {}
                for line in lines:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                content = await reader.readexactly(length)
                body = json.loads(content) if content else {}
                path = first.split(" ")[1]
                status, fields = await self.handle(path, headers, body)
                data = json.dumps(fields).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%s" % (status, len(data), data)
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def tick(self):
        while True:
            self.advance()
            await asyncio.sleep(0.01)

    def check_in(self):
        """Sends check-ins, to the next node after one without an answer."""
        nodes = self.options.control
        node, sequence = 0, 0
        while True:
            sequence += 1
            body = {
                "service": self.options.service,
                "address": self.options.advertised,
                "zone": self.options.zone,
                "machine": self.options.machine,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold-remaining-ms": 0,
                "capacity": {
                    "cpu": self.options.cpu,
                    "mem-mb": 65_536,
                    "gpu": 0,
                },
                "labels": ["a", self.options.rack],
                "clock-ms": self.clock_ms(),
                "sequence": sequence,
            }
            connection = http.client.HTTPConnection(
                nodes[node % len(nodes)], timeout=1.0
            )
            try:
                connection.request(
                    "PUT",
                    f"/instances/{self.id}",
                    json.dumps(body),
                    {"Content-Type": "application/json"},
                )
                is_confirmed = connection.getresponse().status == 200
            except (OSError, http.client.HTTPException):
                is_confirmed = False
            connection.close()
            if is_confirmed:
                time.sleep(CHECK_IN_S)
            else:
                node += 1
                time.sleep(0.1)

    async def run(self):
        host, _, port = self.options.address.rpartition(":")
        server = await asyncio.start_server(self.serve, host, int(port))
        threading.Thread(target=self.check_in, daemon=True).start()
        async with server:
            await self.tick()


def main():
    parser = argparse.ArgumentParser()
    for name in ("machine", "address", "service", "zone", "rack", "events"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--advertised", required=True)
    parser.add_argument("--cpu", type=int, default=16_000)
    parser.add_argument("--fails-for-s", type=float, default=0.0)
    parser.add_argument("--control", nargs="+", required=True)
    options = parser.parse_args()
    asyncio.run(Executor(options).run())


if __name__ == "__main__":
    main()
