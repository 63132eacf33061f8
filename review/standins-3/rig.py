"""Starts a small deployment on loopback for the cases of this review.

The project's programs run as separate processes with the commands of
deploy/system.toml; servers are processes of `worker.py`; the platform's machine
interface is a thread. Settings are those that DEPLOY.md shows for a small
deployment. Only the standard library is used.
"""

import http.client
import http.server
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
_HERE = pathlib.Path(__file__).resolve().parent
HOST = "hall.example"
PREFIX = "/bids/"
# Exit status for a broken rule. Python ends with 1 after any error.
BROKEN = 3
_CONTROL, _FRONT, _READY, _METRICS = 8623, 8624, 8622, 9464
_SETTINGS = """\
node-name={name}
role={role}
machine-class={machine_class}
serves={serves}
ip-address={host}
zone={zone}
region=kyushu
zones.fukuoka-a=kyushu
zones.fukuoka-b=kyushu
zones.kumamoto=kyushu
internal-port-range=7060,7075
seed-nodes={seeds}
bootstrap={bootstrap}
fault-counted={counted}
limits.cpu-share=0.839
limits.cpu-cores=2
limits.memory-mb=296
limits.fd-limit=4096
limits.link-mbps=1000.0
limits.disk-mb=128
discovery=registry
entry=vip
heartbeat-ms=1500
contracts=base,drain,config,cost,recover,sched,advice,upkeep,sharing
fault-tolerance.machines=1
fault-tolerance.zones=1
fault-tolerance.regions=0
bounds.seed-lag-s=3
bounds.address-reuse-s=2
bounds.contact-ms=3000
bounds.ack-timeout-ms=4000
bounds.catch-up-s=4
bounds.drain-ms=2000
bounds.grace-s=6
bounds.loss-slack-ms=200
bounds.config-apply-ms=2000
bounds.rollback-slack-ms=250
bounds.max-stretch-ms=5000
bounds.recovery-s=12
bounds.max-hold-ms=6000
bounds.stop-timeout-ms=200
bounds.gang-timeout-ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.cross-rack-factor=2
bounds.checkpoint-interval-s=0.5
bounds.restore-ms=100
bounds.notice-ms=4500
bounds.move-s=1.5
bounds.upkeep-s=2
bounds.enforce-fencing=true
bounds.lease-ms=3000
bounds.thaw-slack-ms=300
bounds.pace-ms=100
bounds.harm-ms=4000
config_mode=highest
orders=call
cloud-api.address={cloud}
cloud-api.rate-per-s=64.0
cloud-api.duties=
cloud-api.duty-per-s=64.0
{extra}
"""
ZONES = ("fukuoka-a", "fukuoka-b", "kumamoto")


class CannotRun(Exception):
    """The case couldn't run; exit status 2."""


class Rig:
    """Three control processes, one entry, servers and a record."""

    def __init__(self, record_path, entries=1):
        self._record = open(record_path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._begin_s = time.time()
        self.rows = []
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-3-"))
        self._base = _free_network()
        self.processes = {}
        self._machines = {}
        self._lives = 0
        self.hosts = {f"core-{i}": f"{self._base}.{i}" for i in (1, 2, 3)}
        for i in range(1, entries + 1):
            self.hosts[f"front-{i}"] = f"{self._base}.{10 + i}"
        self.control = [f"{self.hosts[f'core-{i}']}:{_CONTROL}"
                        for i in (1, 2, 3)]
        self.front = f"{self.hosts['front-1']}:{_FRONT}"
        self._cloud = f"{self._base}.100:8621"

    def write(self, event, **fields):
        """Adds a row to the record."""
        self.add({"t": round(time.time(), 3), "event": event, **fields})

    def add(self, row):
        row["t"] = round(row["t"] - self._begin_s, 3)
        with self._lock:
            self.rows.append(row)
            if not self._record.closed:
                self._record.write(json.dumps(row) + "\n")
                self._record.flush()

    def start(self, manifest):
        """Starts the system, and sends the manifest until it is accepted."""
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRun("target/deps is missing: build first")
        self._serve_cloud()
        for name in self.hosts:
            self.start_process(name, bootstrap=True)
        until_s = time.monotonic() + 30
        while self.call(self.control[0], "PUT", "/config", manifest)[0] != 200:
            if time.monotonic() > until_s:
                raise CannotRun("the manifest isn't accepted")
            time.sleep(0.3)
        self.write("manifest accepted", version=manifest["version"])

    def start_process(self, name, bootstrap=False):
        """Starts one of the project's processes."""
        host = self.hosts[name]
        is_core = name.startswith("core")
        zone = ZONES[(int(name[-1]) - 1) % len(ZONES)]
        extra = (f"bind-addresses.front={host}:{_FRONT}\n"
                 f"bind-addresses.ready={host}:{_READY}")
        if is_core:
            extra = (f"bind-addresses.control={host}:{_CONTROL}\n"
                     f"data-dir={self._folder / name}")
        path = self._folder / f"{name}.conf"
        path.write_text(_SETTINGS.format(
            name=name, role="control" if is_core else "entry",
            machine_class="core" if is_core else "front",
            serves="control" if is_core else "front", host=host, zone=zone,
            seeds=",".join(self.control),
            bootstrap="true" if bootstrap else "false",
            counted="true" if is_core else "false", cloud=self._cloud,
            extra=extra), encoding="utf-8")
        role = "control" if is_core else "entry"
        log = open(self._folder / f"{name}.log", "ab")
        keep = ("PATH", "HOME", "LANG", "PYENV_ROOT")
        environment = {key: os.environ[key] for key in keep
                       if key in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["TARRAGONCLEAT_NODE_FILE"] = str(path)
        self.processes[name] = subprocess.Popen(
            ["python3", "platform/serve.py", role], cwd=ROOT,
            env=environment, stdout=log, stderr=log)
        self.write("process started", process=name)

    def signal_process(self, name, number):
        """Sends a signal to one of the processes."""
        self.write("signal", process=name, signal=signal.Signals(number).name)
        self.processes[name].send_signal(number)

    def add_server(self, machine, service="bidhall", zone=None, **options):
        """Starts a new life on a machine; returns its id."""
        self._lives += 1
        number = self._machines.setdefault(machine, len(self._machines))
        life = f"i-{machine}-{self._lives}"
        fields = {
            "id": life, "machine": machine, "service": service,
            "zone": zone or ZONES[number % 3], "rack": f"r-{number // 4}",
            "host": f"{self._base}.{20 + number}", "port": 7000,
            "control": self.control, "first_node": number, "cpu": 16000,
            "mem_mb": 65536, "heartbeat_s": 1.5, "max_hold_ms": 6000,
            "stop_ms": 200, **options}
        process = subprocess.Popen(
            [sys.executable, str(_HERE / "worker.py"), json.dumps(fields)],
            stdout=subprocess.PIPE, text=True)
        self.processes[life] = process
        threading.Thread(
            target=self._read_events, args=(process,), daemon=True).start()
        return life

    def _read_events(self, process):
        for line in process.stdout:
            # The last line of a server that crashes may be cut.
            if line.endswith("\n"):
                self.add(json.loads(line))

    def crash(self, life):
        """Crashes a server."""
        self.write("server crashes", server=life)
        self.processes[life].kill()
        self.processes[life].wait()

    def _serve_cloud(self):
        rig = self

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
                self._send(200, {"machines": [], "next-page-token": ""})

            def do_POST(self):
                self.rfile.read(int(self.headers.get("Content-Length", 0)))
                rig.write("machine order", path=self.path)
                self._send(400, {"reason": "no such machine"})

            def log_message(self, *arguments):
                pass

        host, _, port = self._cloud.rpartition(":")
        server = http.server.ThreadingHTTPServer((host, int(port)), Handler)
        server.daemon_threads = True
        threading.Thread(target=server.serve_forever, daemon=True).start()

    def call(self, address, method, path, body=None, host=HOST, timeout_s=3.0):
        """Returns status and fields of one call; (0, {}) without an answer."""
        connection = http.client.HTTPConnection(address, timeout=timeout_s)
        headers = {"Host": host, "Content-Type": "application/json",
                   "Deadline-Ms": str(int(timeout_s * 1000))}
        try:
            content = None if body is None else json.dumps(body)
            connection.request(method, path, content, headers)
            response = connection.getresponse()
            return response.status, json.loads(response.read() or b"{}")
        except (OSError, ValueError, http.client.HTTPException):
            return 0, {}
        finally:
            connection.close()

    def submit(self, job, body, attempts=5):
        """Hands a job in, again without a clear answer; returns the status."""
        status = 0
        for _ in range(attempts):
            status, _ = self.call(self.front, "POST", PREFIX + job, body)
            self.write("submit answered", job=job, status=status)
            if status == 200:
                break
            time.sleep(0.3)
        return status

    def state(self, job):
        """Returns the state of a job that a client is told, or the status."""
        status, fields = self.call(self.front, "GET", PREFIX + job)
        answer = fields.get("state") if status == 200 else status
        return answer

    def wait(self, condition, timeout_s, pause_s=0.02):
        """Waits for a condition; returns its value, or None."""
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            value = condition()
            if value:
                return value
            time.sleep(pause_s)
        return None

    def snapshot(self):
        """Returns the rows so far."""
        with self._lock:
            return list(self.rows)

    def events(self, kind, **fields):
        """Returns the rows of one kind whose fields match."""
        return [row for row in self.snapshot() if row["event"] == kind and all(
            row.get(key) == value for key, value in fields.items())]

    def close(self):
        """Ends all processes, and removes the folder."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP"):
            sys.stderr.write(f"kept {self._folder}\n")
        else:
            shutil.rmtree(self._folder, ignore_errors=True)
        with self._lock:
            self._record.close()


def _free_network():
    """Returns three bytes of a loopback network on which the ports are free."""
    for _ in range(50):
        base = f"127.{random.randrange(32, 250)}.{random.randrange(1, 250)}"
        try:
            for last, port in ((1, _CONTROL), (11, _FRONT), (20, 7000),
                               (1, _METRICS), (100, 8621)):
                with socket.socket() as probe:
                    probe.bind((f"{base}.{last}", port))
        except OSError:
            continue
        return base
    raise CannotRun("no free loopback network")


def build_manifest(version=1, extra_routes=(), max_attempts=4):
    """Returns a manifest with one queue and one service."""
    route = {"name": "r-1", "host": HOST, "path-prefix": PREFIX,
             "type": "unsafe", "timeout-ms": 3000, "target-latency-ms": 600,
             "priority": 1, "service": "bidhall",
             "max-attempts": max_attempts, "stretch": 1.6}
    return {
        "version": version,
        "routes": [route, *extra_routes],
        "services": [{"name": "bidhall", "health-check-path": "/health",
                      "max-connections": 64, "protocol": "h1",
                      "tls-enabled": False, "rejects-overload": True,
                      "spare": False}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}


def build_job(cpu, runs_ms, count=1, **step):
    """Returns the body of a job with one step for each length."""
    return {
        "spec": json.dumps({"cpu": cpu, "runs_ms": runs_ms}),
        "steps": [{"count": count, "cpu": cpu, "mem-mb": 256,
                   "estimated-ms": length or 1000, **step}
                  for length in runs_ms]}


def job_id():
    """Returns a new id."""
    return f"{random.getrandbits(64):016x}"


def main(case, record_path):
    """Runs a case; exits with 0 if the rule held, `BROKEN` if not, else 2."""
    rig = None
    timer = threading.Timer(115, lambda: os.kill(os.getpid(), signal.SIGALRM))
    timer.daemon = True
    timer.start()

    def too_long(*_):
        raise CannotRun("the case took too long")

    signal.signal(signal.SIGALRM, too_long)
    signal.signal(signal.SIGTERM, too_long)
    status = 2
    try:
        rig = Rig(record_path)
        broken = case(rig, os.environ.get("TROUBLE", "1") != "0")
        for line in broken:
            rig.write("BROKEN", what=line)
            print("broken:", line)
        rig.write("verdict", broken=bool(broken))
        status = BROKEN if broken else 0
    except Exception as error:
        print("can't run:", repr(error))
        if rig is not None:
            rig.write("can't run", reason=repr(error))
    finally:
        if rig is not None:
            rig.close()
    print("rule broken" if status == BROKEN else
          "rule held" if status == 0 else "not run")
    sys.exit(status)
