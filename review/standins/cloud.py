"""Stand-in for the platform's interface of machines (`cloud-api`).

It follows the section "Machines" of PROTOCOL.md: an order ends all that runs on
the machine at once, and a new executor joins after `move-s` or `upkeep-s`.
"""

import http.server
import json
import threading
import time

MOVE_S, UPKEEP_S = 1.5, 2.0


class Cloud:
    def __init__(self, rig, address):
        self.rig = rig
        self.lock = threading.Lock()
        self.state = {machine: "up" for machine in rig.executors}
        self.fences = {}
        self.unavailable = False
        cloud = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args):
                pass

            def do_GET(self):
                cloud.answer(self, *cloud.list())

            def do_POST(self):
                length = int(self.headers.get("Content-Length", "0"))
                body = json.loads(self.rfile.read(length) or b"{}")
                holder = self.headers.get("Lease-Holder", "")
                fence = int(self.headers.get("Fencing-Token", "0"))
                cloud.answer(self, *cloud.order(self.path, body, holder, fence))

        self.server = http.server.ThreadingHTTPServer(address, Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def answer(self, handler, status, fields):
        data = json.dumps(fields).encode()
        handler.send_response(status)
        handler.send_header("Content-Type", "application/json")
        handler.send_header("Content-Length", str(len(data)))
        handler.end_headers()
        handler.wfile.write(data)

    def list(self):
        if self.unavailable:
            return 503, {}
        rows = []
        for machine, state in self.state.items():
            rows.append(
                {
                    "machine": machine,
                    "pool": self.rig.service_of(machine),
                    "state": state,
                    "zone": "khomas-a",
                    "labels": ["a"],
                    "capacity": {"cpu": 16000, "mem-mb": 65536, "gpu": 0},
                    "id": "",
                }
            )
        return 200, {"machines": rows, "next-page-token": ""}

    def order(self, path, body, holder, fence):
        if self.unavailable:
            return 503, {}
        machine = body.get("machine")
        with self.lock:
            if machine not in self.state:
                return 400, {}
            if fence < self.fences.get(machine, 0):
                return 409, {"reason": "fence"}
            self.fences[machine] = fence
            pool = body.get("pool")
            if path == "/machine-move" and pool == self.rig.service_of(machine):
                return 200, {}
            if self.state[machine] != "up":
                return 409, {"reason": "busy"}
            is_move = path == "/machine-move"
            self.state[machine] = "moving" if is_move else "upkeep"
        self.rig.note(f"{path} {body} of {holder}, fence number {fence}")
        self.rig.end_executor(machine)
        self.rig.ended_by_order.append((time.monotonic(), machine, path))
        if is_move:
            self.rig.set_service(machine, pool)
        threading.Thread(
            target=self._back, args=(machine, MOVE_S if is_move else UPKEEP_S)
        ).start()
        return 200, {}

    def _back(self, machine, after_s):
        time.sleep(after_s)
        self.state[machine] = "up"
        if not self.rig.is_spare(machine) and not self.rig.is_closed:
            self.rig.boot_executor(machine)
