"""Stand-in server (executor) of the users' platform, one life of a machine.

It follows "Running tasks" and "Service discovery" of PROTOCOL.md. A task runs a
timer: the job's spec is JSON with `runs_ms`, the length of a run by step; 0
means that the task lasts until it is stopped. Each start and end is printed as
a JSON line. Only the standard library is used.

    worker.py JSON     fields: id, machine, service, zone, rack, host, port,
                       control (list of HOST:PORT), cpu, mem_mb, heartbeat_s,
                       max_hold_ms, stop_ms, leave (see `_Life.leave`)

Signals: SIGKILL is a crash. SIGUSR1 begins the planned end: it reports
`draining`, then leaves. SIGUSR2 lets all tasks that last fail, as they may at
any time.
"""

import http.client
import http.server
import json
import signal
import sys
import threading
import time
import urllib.parse


class _Run:
    def __init__(self, run_id, cpu, started_s, length_s):
        self.run_id = run_id
        self.started_s = started_s
        self.length_s = length_s
        self.stopping_s = None
        self.cpu = cpu

    def percent(self, now_s):
        """Progress; tasks that last are at work, which is 100, at once."""
        if not self.length_s:
            return 100
        return min(99, int(100 * (now_s - self.started_s) / self.length_s))


class _Life:
    """The runs, lease, fence and ends of one life."""

    def __init__(self, options):
        self.options = options
        self.changed = threading.Condition()
        self._begin_s = time.monotonic()
        self._fence = 0
        self._lease_ms = 0
        self._running = {}
        self._highest = {}
        self._ended = []
        self._next_end = 1
        self.state = "ready"
        self.drain_acked_s = None

    def clock_ms(self):
        return int((time.monotonic() - self._begin_s) * 1000) + 1000

    def say(self, event, **fields):
        row = {"t": round(time.time(), 3), "event": event,
               "server": self.options["id"], **fields}
        sys.stdout.write(json.dumps(row) + "\n")
        sys.stdout.flush()

    def advance(self):
        """Ends what is done, stopped or without a lease. Lock is held."""
        now_s = time.monotonic()
        for task, run in list(self._running.items()):
            if self.clock_ms() >= self._lease_ms:
                self._end(task, "lapsed")
            elif run.stopping_s is not None and now_s >= run.stopping_s:
                self._end(task, "stopped")
            elif run.length_s and now_s - run.started_s >= run.length_s:
                self._end(task, "done")

    def fail_lasting(self):
        """Lets the tasks that last fail. Lock is held."""
        for task, run in list(self._running.items()):
            if not run.length_s:
                self._end(task, "failed")

    def _end(self, task, how):
        run = self._running.pop(task)
        self._highest[task] = max(run.run_id, self._highest.get(task, 0))
        self._ended.append([self._next_end, task, run.run_id, how, ""])
        self._next_end += 1
        self.say("end", task=task, run=run.run_id, how=how)
        self.changed.notify_all()

    def _refuses(self, body):
        token = body.get("fencing-token", 0)
        if token < self._fence:
            return True
        self._fence = token
        return False

    def _extend(self, deadline_ms):
        longest = self.clock_ms() + self.options["max_hold_ms"]
        self._lease_ms = max(self._lease_ms, min(deadline_ms, longest))

    def _answer(self, status, **fields):
        return status, {"clock-ms": self.clock_ms(), **fields}

    def start(self, body):
        task, run_id = body["task"], body["run-id"]
        if self._refuses(body):
            return self._answer(409, reason="fence")
        running = self._running.get(task)
        if running is not None and running.run_id == run_id:
            self._extend(body["deadline-ms"])
            return self._answer(200)
        if body["deadline-ms"] <= self.clock_ms():
            return self._answer(409, reason="late")
        self._extend(body["deadline-ms"])
        highest = self._highest.get(task, 0)
        if run_id <= highest or (running and running.run_id > run_id):
            return self._answer(409, reason="old")
        spec = json.loads(body["spec"])
        used = sum(run.cpu for run in self._running.values())
        if used + spec["cpu"] > self.options["cpu"]:
            return self._answer(409, reason="room")
        length_ms = spec["runs_ms"][int(task.split(".")[2])]
        self._running[task] = _Run(
            run_id, spec["cpu"], time.monotonic(), length_ms / 1000)
        self.say("start", task=task, run=run_id, fence=self._fence)
        return self._answer(200)

    def stop(self, body):
        task, run_id = body["task"], body["run-id"]
        if self._refuses(body):
            return self._answer(409, reason="fence")
        run = self._running.get(task)
        if run is not None and run.run_id <= run_id:
            if run.stopping_s is None:
                run.stopping_s = (
                    time.monotonic() + self.options["stop_ms"] / 1000)
        else:
            self._highest[task] = max(run_id, self._highest.get(task, 0))
        return self._answer(200)

    def hold(self, body):
        if self._refuses(body):
            return self._answer(409, reason="fence")
        if "deadline-ms" in body:
            self._extend(body["deadline-ms"])
        acked = body.get("ack-cursor", 0)
        self._ended = [row for row in self._ended if row[0] > acked]
        until_s = time.monotonic() + min(2000, body.get("wait-ms", 0)) / 1000
        while not self._ended and time.monotonic() < until_s:
            self.changed.wait(max(0.001, until_s - time.monotonic()))
        now_s = time.monotonic()
        rows = [[task, run.run_id, "", run.percent(now_s), 0]
                for task, run in self._running.items()]
        return self._answer(
            200, **{"running-tasks": rows, "ended": self._ended[:500]})

    def report(self, sequence):
        options = self.options
        body = {
            "service": options["service"], "zone": options["zone"],
            "address": f"{options['host']}:{options['port']}",
            "machine": options["machine"], "version": "v1", "slots": 8,
            "state": self.state, "cold-remaining-ms": 0,
            "capacity": {"cpu": options["cpu"], "mem-mb": options["mem_mb"],
                         "gpu": 0},
            "labels": ["a", options["rack"]],
            "clock-ms": self.clock_ms(), "sequence": sequence,
        }
        if self.state == "draining":
            body["remaining-ms"] = options.get("remaining_ms", 2000)
        return body


def _serve(life):
    calls = {"/run-start": life.start, "/run-stop": life.stop,
             "/hold": life.hold, "/pace": lambda body: life._answer(200)}

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def _send(self, status, fields):
            content = json.dumps(fields).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(content)))
            self.end_headers()
            self.wfile.write(content)

        def do_GET(self):
            self._send(200 if self.path == "/health" else 404, {})

        def do_POST(self):
            length = int(self.headers.get("Content-Length", 0))
            body = json.loads(self.rfile.read(length) or b"{}")
            expected = self.headers.get("Expected-Instance")
            if expected and expected != life.options["id"]:
                self._send(421, {})
            elif self.path in calls:
                with life.changed:
                    life.advance()
                    answer = calls[self.path](body)
                self._send(*answer)
            else:
                self._send(404, {})

        def log_message(self, *arguments):
            pass

    server = http.server.ThreadingHTTPServer(
        (life.options["host"], life.options["port"]), Handler)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()


def call(address, method, path, fields, timeout_s=1.0):
    """Returns status and fields of one call; (0, {}) without an answer."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, path, json.dumps(fields),
                           {"Content-Type": "application/json"})
        response = connection.getresponse()
        return response.status, json.loads(response.read() or b"{}")
    except (OSError, ValueError, http.client.HTTPException):
        return 0, {}
    finally:
        connection.close()


class _CheckIns:
    """Sends check-ins; after a failure the next control node is called."""

    def __init__(self, life):
        self._life = life
        self._nodes = list(life.options["control"])
        self._node = life.options.get("first_node", 0)
        self._url = None
        self._sequence = 0
        self._lock = threading.Lock()

    def send(self, method="PUT"):
        with self._lock:
            self._sequence += 1
            address = self._url or self._nodes[self._node % len(self._nodes)]
            body = self._life.report(self._sequence)
            status, fields = call(
                address, method, f"/instances/{self._life.options['id']}", body)
            if not 200 <= status < 300:
                self._url = None
                self._node += 1
                return False
            url = fields.get("heartbeat-url")
            if url:
                self._url = urllib.parse.urlsplit(url).netloc
            return True

    def run(self):
        while True:
            sent = self.send()
            time.sleep(self._life.options["heartbeat_s"] if sent else 0.1)


def main():
    options = json.loads(sys.argv[1])
    life = _Life(options)
    life.say("boot", machine=options["machine"])
    _serve(life)
    check_ins = _CheckIns(life)
    threading.Thread(target=check_ins.run, daemon=True).start()
    drain = threading.Event()
    signal.signal(signal.SIGUSR1, lambda *_: drain.set())
    fail = threading.Event()
    signal.signal(signal.SIGUSR2, lambda *_: fail.set())
    left_s = None
    while True:
        with life.changed:
            life.advance()
            if fail.is_set():
                fail.clear()
                life.fail_lasting()
            idle = not life._running
        if drain.is_set() and life.state == "ready":
            life.state = "draining"
            while not check_ins.send():
                pass
            life.say("drain acknowledged")
            left_s = time.monotonic() + options.get("stay_s", 2.0)
        if left_s is not None and time.monotonic() >= left_s:
            if idle or not options.get("stay_while_busy", True):
                for _ in range(3):
                    if check_ins.send("DELETE"):
                        break
                life.say("left")
                return
        time.sleep(0.005)


if __name__ == "__main__":
    main()
