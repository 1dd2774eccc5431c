"""Stand-ins for a small deployment: store, workers, clients, and the instances as processes.

The store is the project's own stand-in, without the header that our pages don't name, with the time to live in its
answers to renewals, and with one revision for all that a transaction changes. Each instance reaches
it through a port of its own, so that the store can tell the instances apart.
"""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parent.parent
sys.path.insert(0, str(ROOT / "tests" / "platform" / "adapter"))

import stand_ins  # noqa: E402

PROGRAM = ROOT / "target" / "bin" / "bamboochute-edge"
HOST = "desk.example"
RESTART_S = 0.2


class Record:
    def __init__(self):
        self.start, self.lines = time.monotonic(), []

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        self.lines.append(f"{self.now():8.3f} {text}")

    def write(self):
        (HERE / "record.txt").write_text("\n".join(self.lines) + "\n")


class Store(stand_ins.Store):
    def __init__(self, record):
        super().__init__()
        self.journal, self.ports = record, {}
        # Name of the instance that last wrote under a condition, and when.
        self.last_writer = (None, 0.0)
        # The same, where a key with a lease was written.
        self.last_owner = (None, 0.0)

    def era_header(self):
        return []

    async def commit(self, body):
        """Applies a transaction as one change: all that it writes has the same revision."""
        conditions = body.get("expected", [])
        if any(self.items.get(row["key"], {"revision": 0})["revision"] != row["revision"] for row in conditions):
            return 412, {"items": [self.items[row["key"]] for row in conditions if row["key"] in self.items]}
        if any(put.get("lease", 0) and put["lease"] not in self.leases for put in body.get("puts", [])):
            return 404, {}
        self.revision += 1
        revision, events = self.revision, []
        for put in body.get("puts", []):
            created = self.items[put["key"]]["created"] if put["key"] in self.items else revision
            self.items[put["key"]] = {"key": put["key"], "value": put["value"], "revision": revision,
                                      "created": created, "lease": put.get("lease", 0)}
            events.append(dict(self.items[put["key"]]))
        for key in body.get("remove", []):
            if self.items.pop(key, None) is not None:
                events.append({"key": key, "revision": revision, "tombstone": True})
        self.events += events
        async with self.changed:
            self.changed.notify_all()
        return 200, {"revision": revision}

    async def open_port(self, name):
        port = stand_ins.free_port()
        self.ports[port] = name
        await asyncio.start_server(self.connected, "127.0.0.1", port)
        return port

    async def handle(self, request, reader, writer):
        request.instance = self.ports.get((writer.get_extra_info("sockname") or ("", 0))[1], "")
        await super().handle(request, reader, writer)

    async def serve(self, request):
        status, value = await super().serve(request)
        if request.path.startswith("/kv-keep/") and status == 200:
            lease = self.leases[int(request.path.rsplit("/", 1)[1])]
            value = {"ttl_ms": int(lease["span"] * 1000)}
        if request.path == "/kv-txn" and status == 200:
            body = json.loads(request.body)
            if body.get("expected"):
                self.last_writer = (request.instance, time.monotonic())
                if any(put.get("lease") for put in body.get("puts", [])):
                    self.last_owner = self.last_writer
                keys = " ".join(put["key"] for put in body.get("puts", []))
                self.journal.add(f"store: {request.instance} wrote under a condition: {keys}")
        return status, value


class Worker(stand_ins.Server):
    """A worker of the order service: it runs each request for WORK_S, and answers it."""

    HEARTBEAT_S, WORK_S = 1.2, 0.05

    def __init__(self, name, store, record):
        super().__init__()
        self.name, self.store, self.record = name, store, record
        self.beats, self.born, self.is_registered, self.has_ended = 0, int(time.time() * 1000), True, False
        # Requests that were run: time and id.
        self.runs = []

    async def beat(self):
        self.beats += 1
        says = {"service": "orders", "address": f"127.0.0.1:{self.port}", "zone": "north", "version": "v1",
                "slots": 6, "state": "ready", "cold_remaining_ms": 0, "sequence": self.beats, "born": self.born}
        await self.store.put(f"servers/{self.name}", json.dumps(says).encode())

    async def handle(self, request, reader, writer):
        expected = request.header("X-Expect-Instance")
        if expected and expected != self.name:
            writer.write(stand_ins.answer_bytes(421, headers=[("X-Instance-Id", self.name)]))
            return
        if request.path == "/healthz":
            status = 200 if self.is_registered else 503
            writer.write(stand_ins.answer_bytes(status, headers=[("X-Instance-Id", self.name)]))
            return
        attempt = request.header("X-Attempt-Id")
        self.runs.append((time.monotonic(), attempt))
        await asyncio.sleep(self.WORK_S)
        if self.has_ended:
            raise ConnectionResetError
        writer.write(stand_ins.answer_bytes(200, b"done " + attempt.encode(), [
            ("X-Attempt-Id", attempt), ("X-Server-Signature", f"s.{self.name}")]))

    def end(self):
        """Ends the process, and with it what it runs."""
        self.has_ended = True
        self.crash()


class Instance:
    """One machine of the system: the platform starts its process again when it ends."""

    def __init__(self, name, store_port, directory, record, extra=""):
        self.name, self.record = name, record
        self.path, self.log = directory / f"{name}.conf", open(directory / f"{name}.log", "ab")
        self.port, self.ready_port, self.internal_port = [stand_ins.free_port() for _ in range(3)]
        self.text = (
            f"node_name={name}\nrole=edge\ninstance_class=edge\nserves=edge\nip=127.0.0.1\nzone=north\nregion=land\n"
            f"zones.north=land\nlisten.frontend=127.0.0.1:{self.port}\nlisten.readiness=127.0.0.1:{self.ready_port}\n"
            f"internal_ports={self.internal_port},{self.internal_port}\nlimits.cpu_share=0.5\nlimits.cores=1\n"
            f"limits.memory_mb=512\nlimits.file_descriptors=8192\ndiscovery=platform\nentry=vip\nheartbeat_ms=1200\n"
            f"bounds.stable_window_ms=4000\nbounds.drain_ms=3000\nbounds.grace_s=8\nbounds.config_apply_ms=3000\n"
            f"bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.budget_slack=104\n"
            f"bounds.fencing_enforced=true\nbounds.lease_ms=3000\nbounds.thaw_ms=300\n"
            f"platform.address=127.0.0.1:{store_port}\nplatform.form=kv\nplatform.writes_per_s=400\n"
            f"platform.reads_per_s=2000\nplatform.history_s=20\nplatform.value_bytes=1048576\n"
            f"platform.ttl_min_ms=1000\n{extra}")
        self.child, self.is_over, self.keeper = None, False, None

    def start(self, is_first=False):
        self.path.write_text(self.text + f"bootstrap={str(is_first).lower()}\n")
        self.child = subprocess.Popen([str(PROGRAM)], stdout=self.log, stderr=self.log, cwd=ROOT,
                                      env={"PATH": os.environ.get("PATH", ""),
                                           "BAMBOOCHUTE_CONFIG": str(self.path)})
        self.record.add(f"platform: {self.name} started")
        self.keeper = asyncio.get_running_loop().create_task(self.keep())

    async def keep(self):
        while self.child.poll() is None:
            await asyncio.sleep(0.01)
        if self.is_over:
            return
        self.record.add(f"platform: {self.name} has ended with {self.child.returncode}")
        await asyncio.sleep(RESTART_S)
        if not self.is_over:
            self.start()

    def send(self, number):
        self.record.add(f"platform: {signal.Signals(number).name} to {self.name}")
        self.child.send_signal(number)

    def end(self):
        self.is_over = True
        if self.child and self.child.poll() is None:
            self.child.kill()
            self.child.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready_port)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


async def wait_until_ready(instances, limit_s=15):
    until = time.monotonic() + limit_s
    while time.monotonic() < until:
        if all([await one.is_ready() for one in instances]):
            return True
        await asyncio.sleep(0.1)
    return False


async def put_config(store, version=7):
    config = {
        "version": version,
        "routes": [{"name": "r-order", "hostname": HOST, "path_prefix": "/order/", "type": "non_idempotent",
                    "timeout_ms": 3000, "target_latency_ms": 300, "priority": 1, "service": "orders",
                    "max_attempts": 1}],
        "services": [{"name": "orders", "health_path": "/healthz", "max_connections": 440, "protocol": "h1",
                      "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000,
                   "idle_timeout_ms": 15000}}
    await store.put("op/config", json.dumps(config).encode())


async def order_request(instance, attempt, deadline_s=3.0):
    """Sends one request on a new connection; returns its status, or 0 without an answer."""
    head = (f"POST /order/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n"
            f"X-Deadline-Ms: {int(deadline_s * 1000)}\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi")
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", instance.port), 1)
        writer.write(head.encode())
        data = await asyncio.wait_for(reader.read(), deadline_s + 1)
        return int(data.split(b" ", 2)[1]) if data.startswith(b"HTTP/1.1 ") else 0
    except (OSError, asyncio.TimeoutError, ValueError, IndexError):
        return 0
    finally:
        if writer:
            writer.close()
