"""Runs instances with the command of the deploy file between stand-ins for store, workers and clients.

Everything listens on 127.0.0.1 at free ports, and all files are in a temporary folder. The stand-ins build on the
project's own ones (tests/platform/adapter/stand_ins.py); the store is changed to answer as the users' page says:
it names no era, a renewal returns the lease and its time, and all changes of a transaction have one revision, which
its answer names.
"""

import asyncio
import base64
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests/platform/adapter"))

import stand_ins  # noqa: E402

PROGRAM = ROOT / "target/bin/bamboochute-edge"
SIGNATURE = "X-Server-Signature"
HOST = "ficu95.example"
STORE_ANSWER_S = 0.004


class Record:
    """What was sent, answered and run, with the time since the begin; written to record.txt of the case."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.begun_at = time.monotonic()
        self.violations = []

    def now(self):
        return time.monotonic() - self.begun_at

    def add(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()

    def violation(self, text):
        self.violations.append(text)
        self.add(f"RULE BROKEN: {text}")


class Store(stand_ins.Store):
    """The platform's store."""

    def era_header(self):
        return []

    async def handle(self, request, reader, writer):
        if request.path != "/kv-watch":
            await asyncio.sleep(STORE_ANSWER_S)
        await super().handle(request, reader, writer)

    async def put(self, key, value, lease=0):
        self.revision += 1
        await self.write(key, value, lease)

    async def write(self, key, value, lease):
        """Writes a key at the present revision."""
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                           "created": created, "lease": lease}
        await self.record(dict(self.items[key]))

    async def commit(self, body):
        rows = body.get("expected", [])
        if any(self.items.get(row["key"], {"revision": 0})["revision"] != row["revision"] for row in rows):
            return 412, {"items": [self.items[row["key"]] for row in rows if row["key"] in self.items]}
        puts, removed = body.get("puts", []), [key for key in body.get("remove", []) if key in self.items]
        if any(put.get("lease", 0) and put["lease"] not in self.leases for put in puts):
            return 404, {}
        self.revision += 1
        revision = self.revision
        for put in puts:
            await self.write(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in removed:
            del self.items[key]
            await self.record({"key": key, "revision": revision, "tombstone": True})
        return 200, {"revision": revision}

    async def serve(self, request):
        if request.path.startswith("/kv-keep/"):
            number = int(request.path.rsplit("/", 1)[1])
            if number not in self.leases:
                return 404, {}
            lease = self.leases[number]
            lease["until"] = time.monotonic() + lease["span"]
            return 200, {"lease": number, "ttl_ms": int(lease["span"] * 1000)}
        return await super().serve(request)


class Worker(stand_ins.Server):
    """A worker that registers itself; subclasses say how it runs a request."""

    def __init__(self, name, service, store, record):
        super().__init__()
        self.name, self.service, self.store, self.record = name, service, store, record
        self.state, self.beat, self.born = "ready", 0, int(time.time() * 1000)
        self.is_up = False

    def says(self):
        return {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "norte", "version": "v1",
                "slots": 64, "state": self.state, "cold_remaining_ms": 0, "sequence": self.beat, "born": self.born}

    async def begin(self):
        await self.start()
        self.is_up = True
        await self.register()

    async def register(self):
        self.beat += 1
        await self.store.put(f"servers/{self.name}", json.dumps(self.says()).encode())

    async def handle(self, request, reader, writer):
        expected = request.header("X-Expect-Instance")
        if expected and expected != self.name:
            writer.write(stand_ins.answer_bytes(421, headers=[("X-Instance-Id", self.name)]))
        elif request.path == "/healthz":
            status = 200 if self.state == "ready" else 503
            writer.write(stand_ins.answer_bytes(status, headers=[("X-Instance-Id", self.name)]))
        else:
            await self.work(request, reader, writer)

    def headers(self, request):
        return [("X-Attempt-Id", request.header("X-Attempt-Id")), (SIGNATURE, f"s.{self.name}")]


class Instance:
    """One instance with its settings file, as the platform writes it."""

    def __init__(self, number, store_port, folder, record, seeds=()):
        self.number, self.record = number, record
        self.port, self.ready_port, self.control_port, self.internal = [stand_ins.free_port() for _ in range(4)]
        self.path, self.store_port = folder / f"local-{number}.conf", store_port
        self.log = open(folder / f"instance-{number}.log", "ab")
        self.child = None

    def start(self, is_bootstrap=True):
        self.path.write_text(f"""node_name=edge-norte-{self.number}
role=edge
instance_class=edge
serves=edge
ip=127.0.0.1
zone=norte
region=sierra
zones.norte=sierra
listen.frontend=127.0.0.1:{self.port}
listen.readiness=127.0.0.1:{self.ready_port}
internal_ports={self.internal},{self.internal}
bootstrap={"true" if is_bootstrap else "false"}
counts_as_loss=false
limits.cpu_share=1
limits.cores=1
limits.memory_mb=182
limits.file_descriptors=2870
limits.bandwidth_mbps=700.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform
fault_tolerance.machines=1
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.stable_window_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.downgrade_slack_ms=250
bounds.outer_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_slack=104
bounds.recover_s=12
bounds.pass_ms=120
bounds.retry_after_s=0
bounds.fencing_enforced=true
bounds.lease_ms=3000
bounds.thaw_ms=300
bounds.ceiling_window_s=5
bounds.ceiling_factor=1.1
platform.address=127.0.0.1:{self.store_port}
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
""", encoding="utf-8")
        self.child = subprocess.Popen([str(PROGRAM)], cwd=ROOT, stdout=self.log, stderr=self.log,
                                      env={"PATH": os.environ.get("PATH", ""), "HOME": "/tmp",
                                           "LANG": "C", "BAMBOOCHUTE_CONFIG": str(self.path)})
        self.record.add(f"instance {self.number} started")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready_port)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200" in line
        except (OSError, asyncio.TimeoutError):
            return False

    def signal(self, number):
        self.record.add(f"instance {self.number} gets {signal.Signals(number).name}")
        self.child.send_signal(number)

    def close(self):
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
        if self.child is not None:
            self.child.wait()
        self.log.close()


class Answer:
    """What a client got."""

    def __init__(self):
        self.status, self.headers, self.body, self.is_complete, self.error = None, {}, b"", False, ""

    def text(self):
        whole = "complete" if self.is_complete else f"incomplete {self.error}"
        return f"{self.status} {whole}, {len(self.body)} bytes"


async def read_answer(reader, answer):
    """Reads one answer with a length or in chunks."""
    first, answer.headers = await stand_ins.read_head(reader)
    answer.status = int(first.split(" ")[1])
    if answer.headers.get("transfer-encoding", "") == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                await reader.readuntil(b"\r\n")
                break
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
    else:
        answer.body = await reader.readexactly(int(answer.headers.get("content-length", "0")))
    answer.is_complete = True


async def request(instance, method, path, attempt, deadline_ms, headers=(), body=b""):
    """Sends one request on a new connection and reads its answer."""
    answer = Answer()
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {attempt}",
             f"X-Deadline-Ms: {deadline_ms}", *[f"{name}: {value}" for name, value in headers]]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", instance.port), 1)
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await asyncio.wait_for(read_answer(reader, answer), deadline_ms / 1000 + 1)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as failure:
        answer.error = type(failure).__name__
    if writer is not None:
        writer.close()
    return answer


def run(folder, play, instances=3):
    """Plays a case; play(rig) is a coroutine. Exits with 1 if the rule was broken, 0 if it held, else 2."""
    record = Record(folder)
    if not PROGRAM.exists():
        record.add("the program of the deploy file is not built")
        sys.exit(2)
    sys.exit(asyncio.run(play_all(record, play, instances)))


class Rig:
    def __init__(self, record, store, instances):
        self.record, self.store, self.instances = record, store, instances
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def configure(self, configuration):
        await self.store.put("op/config", json.dumps(configuration).encode())
        self.record.add(f"store acknowledged configuration {configuration['version']}")

    async def start_instances(self):
        for instance in self.instances:
            instance.start()
        until = time.monotonic() + 15
        for instance in self.instances:
            while not await instance.is_ready():
                if time.monotonic() > until:
                    raise RuntimeError(f"instance {instance.number} is not ready")
                await asyncio.sleep(0.1)
        self.record.add("all instances are ready")


async def play_all(record, play, count):
    store, instances, expiry = Store(), [], None
    with tempfile.TemporaryDirectory(prefix="review-") as name:
        folder = pathlib.Path(os.environ.get("KEEP_LOGS", name))
        folder.mkdir(exist_ok=True)
        code = 2
        try:
            await store.start()
            expiry = asyncio.get_running_loop().create_task(store.expire())
            instances += [Instance(n, store.port, folder, record) for n in range(1, count + 1)]
            rig = Rig(record, store, instances)
            await asyncio.wait_for(play(rig), 110)
            code = 1 if record.violations else 0
        except Exception as failure:  # pylint: disable=broad-except
            record.add(f"the case could not run: {failure!r}")
        finally:
            for instance in instances:
                instance.close()
            if expiry is not None:
                expiry.cancel()
        record.add(f"exit code {code}")
        return code
