"""Starts a small installation on loopback addresses: the project's programs by
the commands of deploy/system.toml, and stand-in executors and clients.

The settings are those that DEPLOY.md shows, with the bounds of kcc-grid. Every
machine has an address of its own in one /24 of 127.0.0.0/8, so that all ports
are free; a free /24 is searched first.
"""

import contextlib
import http.client
import json
import os
import pathlib
import random
import select
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
STANDINS = pathlib.Path(__file__).resolve().parent
ZONES = ("khomas-a", "khomas-b", "khomas-c")
FRONT_PORT, READY_PORT, CONTROL_PORT, EXECUTOR_PORT = 8624, 8622, 8623, 7000
# Exit statuses. Python itself exits with 1 after an error, so that a broken rule
# has another one; run.sh turns it into 1, and all others into 2.
HELD, BROKEN, NOT_RUN = 0, 10, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "pule25.example"
SERVICE = "huvo11a"
SPARE = "lohu93e"
CLOUD_PORT = 8621
PREFIX = "/puxa400/"
COMMON = """\
region=khomas
zones.khomas-a=khomas
zones.khomas-b=khomas
zones.khomas-c=khomas
internal-port-range=7060,7075
limits.cpu-share=0.752
limits.cpu-cores=2
limits.memory-mb=300
limits.fd-limit=4096
limits.link-mbps=1000.0
discovery=registry
entry=vip
heartbeat-ms=1500
contracts=base,drain,config,cost,recover,sched,upkeep,sharing
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
bounds.stop-timeout-ms=400
bounds.gang-timeout-ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.cross-rack-factor=3
bounds.checkpoint-interval-s=2
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
advice=
cloud-api.address=
cloud-api.rate-per-s=64.0
cloud-api.duties=
cloud-api.duty-per-s=64.0
"""


class CannotRun(Exception):
    """The case can't run here."""


class Proxy:
    """A link that can be cut silently: bytes stay where they are.

    Bytes held up are lost if their sender has closed its channel meanwhile.
    """

    def __init__(self, listen, target):
        self.target = target
        self.is_cut = False
        self._listener = socket.create_server(listen)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            client, _ = self._listener.accept()
            threading.Thread(
                target=self._serve, args=(client,), daemon=True
            ).start()

    def _serve(self, client):
        # A new channel is opened only while there is a path.
        while self.is_cut:
            time.sleep(0.02)
        server = None
        with contextlib.suppress(OSError):
            if not _has_ended(client):
                server = socket.create_connection(self.target, 1.0)
                self._forward(client, server)
        for item in (client, server):
            if item is not None:
                item.close()

    def _forward(self, client, server):
        peers = {client: server, server: client}
        was_cut = False
        while True:
            if self.is_cut:
                was_cut = True
                time.sleep(0.005)
                continue
            if was_cut and _has_ended(client):
                return
            was_cut = False
            readable, _, _ = select.select(list(peers), [], [], 0.02)
            for item in readable:
                if self.is_cut:
                    break
                data = item.recv(65_536)
                if not data:
                    return
                peers[item].sendall(data)


def _has_ended(connection):
    """Whether the peer has closed its side, even with bytes before."""
    poll = select.poll()
    poll.register(connection, select.POLLRDHUP | select.POLLHUP)
    return bool(poll.poll(0))


class Rig:
    def __init__(self, folder, fronts=2):
        self.case = pathlib.Path(folder)
        self.started_s = time.monotonic()
        self.files = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.net = _free_net()
        # A free address, at which a case may start a stand-in.
        self.cloud = f"{self.net}.90:{CLOUD_PORT}"
        self.processes = {}
        self.executors = {}
        self.proxies = {}
        # Time, machine and path of each order that ended an executor.
        self.ended_by_order = []
        self.record_lines = []
        self.lock = threading.Lock()
        self.is_closed = False
        self.cores = {f"core-{i}": f"{self.net}.{i}" for i in (1, 2, 3)}
        self.fronts = {
            f"front-{i}": f"{self.net}.{10 + i}" for i in range(1, fronts + 1)
        }
        with open(ROOT / "deploy/system.toml", "rb") as file:
            self.roles = tomllib.load(file)["roles"]

    # -- record ----------------------------------------------------------

    def note(self, text):
        line = f"{time.monotonic() - self.started_s:9.3f}  {text}"
        with self.lock:
            self.record_lines.append(line)

    def write_record(self):
        lines = list(self.record_lines)
        for row in self.events():
            at_s = row.pop("at_s") - self.started_s
            lines.append(f"{at_s:9.3f}  executor {json.dumps(row)}")
        lines.sort(key=lambda line: float(line.split()[0]))
        text = "\n".join(lines) + "\n"
        (self.case / "record.txt").write_text(text, encoding="utf-8")

    def events(self):
        """Returns what the executors have recorded, in order of time."""
        rows = []
        for path in self.files.glob("*.events"):
            text = path.read_text(encoding="utf-8")
            # An executor may be writing its last line just now.
            complete = text[: text.rfind("\n") + 1]
            rows.extend(json.loads(line) for line in complete.splitlines())
        return sorted(rows, key=lambda row: row["at_s"])

    # -- the project's programs ------------------------------------------

    def start_system(self):
        seeds = ",".join(
            f"{host}:{CONTROL_PORT}" for host in self.cores.values()
        )
        for number, (name, host) in enumerate(
            [*self.cores.items(), *self.fronts.items()]
        ):
            text = COMMON.replace(
                "cloud-api.address=", f"cloud-api.address={self.cloud}"
            )
            text += f"seed-nodes={seeds}\nnode-name={name}\n"
            text += f"ip-address={host}\nzone={ZONES[number % 3]}\n"
            if name in self.cores:
                text += f"bind-addresses.control={host}:{CONTROL_PORT}\n"
                text += f"data-dir={self.files / name}\nlimits.disk-mb=128\n"
                text += (
                    "machine-class=core\nserves=control\nfault-counted=true\n"
                )
            else:
                text += f"bind-addresses.front={host}:{FRONT_PORT}\n"
                text += f"bind-addresses.ready={host}:{READY_PORT}\n"
                text += (
                    "machine-class=front\nserves=front\nfault-counted=false\n"
                )
            self._settings(name).write_text(
                text + "bootstrap=true\n", encoding="utf-8"
            )
            self.start(name)

    def zone_of(self, name):
        """Returns the zone of a core or front machine."""
        return ZONES[[*self.cores, *self.fronts].index(name) % 3]

    def _settings(self, name):
        return self.files / f"{name}.conf"

    def start(self, name):
        role = "control" if name in self.cores else "entry"
        command = self.roles[role]["run"].split()
        if command[0] == "python3":
            command[0] = sys.executable
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["TARRAGONCLEAT_NODE_FILE"] = str(self._settings(name))
        with open(self.files / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def restart(self, name):
        """Starts a process again after a kill, no longer as the first start."""
        path = self._settings(name)
        text = path.read_text(encoding="utf-8")
        path.write_text(text.replace("bootstrap=true", "bootstrap=false"))
        self.start(name)

    def send_signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.processes[name].kill()
        self.processes[name].wait()

    def log_events(self, name, event):
        rows = []
        path = self.files / f"{name}.log"
        for line in path.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                row = json.loads(line)
                if isinstance(row, dict) and row.get("event") == event:
                    rows.append(row)
        return rows

    def leader(self):
        """Returns the core machine that leads, by its log, or None."""
        found = []
        for name in self.cores:
            rows = self.log_events(name, "leadership")
            if rows and rows[-1]["leads"]:
                found.append((rows[-1]["term"], name))
        return max(found)[1] if found else None

    # -- executors -------------------------------------------------------

    def add_executor(
        self,
        number,
        service=SERVICE,
        cpu=16_000,
        cut=False,
        fails_for_s=0.0,
        zone="",
        rack="",
    ):
        machine = f"m-{number:05d}"
        host = f"{self.net}.{100 + number}"
        advertised = f"{host}:{EXECUTOR_PORT}"
        control = [f"{item}:{CONTROL_PORT}" for item in self.cores.values()]
        if cut:
            proxies = [Proxy((host, 7001), (host, EXECUTOR_PORT))]
            advertised = f"{host}:7001"
            for port, core in enumerate(self.cores.values(), 7100):
                proxies.append(Proxy((host, port), (core, CONTROL_PORT)))
            control = [f"{host}:{port}" for port in (7100, 7101, 7102)]
            self.proxies[machine] = proxies
        shift = number % len(control)
        self.executors[machine] = [
            sys.executable,
            str(STANDINS / "executor.py"),
            *("--machine", machine, "--address", f"{host}:{EXECUTOR_PORT}"),
            *("--advertised", advertised, "--service", service),
            *("--zone", zone or ZONES[number % 3]),
            *("--rack", rack or f"r-{number % 2}"),
            *("--events", str(self.files / f"{machine}.events")),
            *("--fails-for-s", str(fails_for_s)),
            *("--cpu", str(cpu), "--control", *control[shift:]),
            *control[:shift],
        ]
        if not self.is_spare(machine):
            self.boot_executor(machine)
        return machine

    def service_of(self, machine):
        command = self.executors[machine]
        return command[command.index("--service") + 1]

    def set_service(self, machine, service):
        command = self.executors[machine]
        command[command.index("--service") + 1] = service

    def is_spare(self, machine):
        """Whether a machine is in the spare pool, and so off."""
        return self.service_of(machine) == SPARE

    def end_executor(self, machine):
        """Ends an executor at once, with all that runs on it."""
        process = self.processes.get(machine)
        if process is not None:
            process.kill()
            process.wait()

    def boot_executor(self, machine):
        with open(self.files / f"{machine}.log", "ab") as log:
            self.processes[machine] = subprocess.Popen(
                self.executors[machine], stdout=log, stderr=log
            )

    def cut(self, machine, is_cut):
        self.note(f"{'cut' if is_cut else 'joined'} {machine}")
        for proxy in self.proxies[machine]:
            proxy.is_cut = is_cut

    # -- clients and the operator ------------------------------------------

    def call(
        self, host, port, method, path, body=None, timeout_s=3.0, quiet=False
    ):
        """Sends one request; returns the status (0 without one) and the body."""
        connection = http.client.HTTPConnection(host, port, timeout=timeout_s)
        headers = {"Host": HOST, "Content-Type": "application/json"}
        headers["Deadline-Ms"] = str(int(timeout_s * 1000))
        data = json.dumps(body) if body is not None else None
        status, fields = 0, {}
        try:
            connection.request(method, path, data, headers)
            response = connection.getresponse()
            content = response.read()
            status = response.status
            fields = json.loads(content) if content else {}
        except (OSError, http.client.HTTPException, ValueError):
            pass
        connection.close()
        if not quiet:
            self.note(f"{method} {path} at {host}:{port} -> {status} {fields}")
        return status, fields

    def client(self, method, path, body=None, quiet=False):
        """Sends a client's request to some front; 502 and 504 are repeated."""
        for _ in range(5):
            host = random.choice(list(self.fronts.values()))
            status, fields = self.call(
                host, FRONT_PORT, method, path, body, 3.0, quiet
            )
            if status not in (0, 502, 504):
                break
        return status, fields

    def submit(self, steps, spec, job=None, prefix=PREFIX, quiet=False):
        """Hands a job in until it is accepted; returns its id."""
        job = job or os.urandom(8).hex()
        body = {"spec": json.dumps(spec), "steps": steps}
        deadline_s = time.monotonic() + 15
        while time.monotonic() < deadline_s:
            status, _ = self.client("POST", prefix + job, body, quiet)
            if 200 <= status < 300:
                return job
            time.sleep(0.2)
        raise CannotRun("a job was not accepted")

    def state(self, job, prefix=PREFIX, quiet=True):
        status, fields = self.client("GET", prefix + job, quiet=quiet)
        return fields.get("state", str(status))

    def put_config(self, version=1, **changes):
        route = {
            "name": "r-anu6wsj",
            "host": HOST,
            "path-prefix": PREFIX,
            "type": "unsafe",
            "timeout-ms": 3000,
            "target-latency-ms": 600,
            "priority": 0,
            "service": SERVICE,
            "max-attempts": 4,
            "stretch": 1.6,
        }
        body = {
            "version": version,
            "routes": [route],
            "services": [
                {
                    "name": SERVICE,
                    "health-check-path": "/health",
                    "max-connections": 64,
                    "protocol": "h1",
                    "tls-enabled": False,
                    "rejects-overload": True,
                    "spare": False,
                }
            ],
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 262144,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000,
            },
            **changes,
        }
        deadline_s = time.monotonic() + 20
        while time.monotonic() < deadline_s:
            host = random.choice(list(self.cores.values()))
            status, _ = self.call(
                host, CONTROL_PORT, "PUT", "/config", body, 1.0
            )
            if status == 200:
                return
            time.sleep(0.3)
        raise CannotRun("the manifest was not acknowledged")

    def wait(self, condition, what, limit_s=20.0):
        deadline_s = time.monotonic() + limit_s
        while time.monotonic() < deadline_s:
            value = condition()
            if value:
                return value
            time.sleep(0.05)
        raise CannotRun(f"no {what} within {limit_s} s")

    def wait_ready(self):
        """Waits until all fronts are ready, as the platform asks them."""
        for host in self.fronts.values():
            self.wait(
                lambda host=host: (
                    self.call(
                        host, READY_PORT, "GET", "/readiness", quiet=True
                    )[0]
                    == 200
                ),
                "readiness",
            )

    def close(self):
        self.is_closed = True
        for process in self.processes.values():
            with contextlib.suppress(OSError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()

    def clean_up(self):
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.files, ignore_errors=True)


def _free_net():
    """Returns the first bytes of a /24 of loopback addresses without users."""
    for _ in range(50):
        net = f"127.{random.randint(40, 250)}.{random.randint(1, 250)}"
        try:
            for host in (1, 2, 3, 11, 12):
                for port in (9464, 8622, 8623, 8624, 7060):
                    socket.create_server((f"{net}.{host}", port)).close()
        except OSError:
            continue
        return net
    raise CannotRun("no free loopback addresses")


def run(case, folder, **options):
    """Runs a case; the exit status is BROKEN only if it returns breaks.

    The case gets the rig and returns a list of breaks. Any error, also one of
    the rig itself, means that the case couldn't run.
    """
    rig, status = None, NOT_RUN
    try:
        rig = Rig(folder, **options)
        rig.note(f"TROUBLE={int(TROUBLE)}")
        breaks = case(rig)
        status = BROKEN if breaks else HELD
        for line in breaks[:20]:
            rig.note(f"BROKEN: {line}")
        rig.note(f"{len(breaks)} breaks")
    except Exception as error:
        status = NOT_RUN
        if rig is not None:
            rig.note(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
    finally:
        if rig is not None:
            rig.close()
            rig.write_record()
            rig.clean_up()
    print(
        {HELD: "the rule held", BROKEN: "the rule was broken"}.get(
            status, "not run"
        )
    )
    sys.exit(status)
