"""Small stand-ins for the scripts of the third review: the platform's store, engine workers, edge processes, clients.

They speak what the users' pages say, on loopback addresses, and need nothing but Python's own library.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
SIGNATURE = "X-Server-Signature"
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case could not run."""


def edge_program():
    """The program that the build command of deploy/system.toml makes."""
    path = pathlib.Path(os.environ.get("EDGE_PROGRAM", ROOT / "target" / "bin" / "bamboochute-edge"))
    if not os.access(path, os.X_OK):
        raise NotRun(f"no program at {path.name}: run the build command of deploy/system.toml first")
    return str(path)


def free_port(held=[]):
    """Returns a port that is free for TCP and UDP at 127.0.0.1, below the range of the kernel's own choice.

    Another address keeps it from being returned again.
    """
    low = int(pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range").read_text(encoding="ascii").split()[0])
    while True:
        port = random.SystemRandom().randrange(min(10000, low - 2000), low)
        place = socket.socket()
        try:
            place.bind(("127.255.255.253", port))
            with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            held.append(place)
            return port
        except OSError:
            place.close()


class Record:
    """What was sent, answered and run, with times since the start, for record.txt."""

    def __init__(self, folder):
        self.begin = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.begin

    def write(self, text):
        self.file.write(f"{self.now():8.3f}  {text}\n")

    def close(self):
        self.file.close()


def reset(writer):
    """Resets a connection, as the end of a worker's process does."""
    connection = writer.transport.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query))

    def header(self, name):
        return self.headers.get(name.lower(), "")


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


def plain_answer(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}", *(f"{n}: {v}" for n, v in headers)]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """Answers HTTP requests on one address; subclasses define handle()."""

    def __init__(self, host="127.0.0.1"):
        self.host, self.port, self.server, self.connections = host, None, None, set()

    async def listen(self, port=None):
        self.port = port or self.port or free_port()
        self.server = await asyncio.start_server(self.connected, self.host, self.port, backlog=512)

    async def connected(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                request = Request(method, target, headers, body)
                request.peer = writer.get_extra_info("peername")
                if not await self.handle(request, reader, writer):
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        self.connections.discard(writer)
        writer.close()

    def end(self):
        """Ends as a killed process does: it listens no more, and its connections are reset."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.connections):
            reset(writer)


class Store(Server):
    """The platform's store: revisions, transactions, leases and watches."""

    MAX_EVENTS = 5000

    def __init__(self):
        super().__init__()
        self.items, self.events, self.leases = {}, [], {}
        self.revision, self.dropped, self.next_lease = 1, 0, 0
        self.changed = asyncio.Condition()

    async def start(self):
        await self.listen()
        asyncio.get_running_loop().create_task(self.expire())

    async def put(self, key, value, lease=0):
        self.write(key, value, lease, self.revision + 1)
        await self.wake()

    async def remove(self, key):
        self.drop(key, self.revision + 1)
        await self.wake()

    def write(self, key, value, lease, revision):
        """Writes one item; all changes of a transaction have the same revision."""
        self.revision = revision
        created = self.items[key]["created"] if key in self.items else revision
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(), "revision": revision,
                           "created": created, "lease": lease}
        self.note(dict(self.items[key]))

    def drop(self, key, revision):
        if self.items.pop(key, None) is not None:
            self.revision = revision
            self.note({"key": key, "revision": revision, "tombstone": True})

    def note(self, event):
        self.events.append(event)
        if len(self.events) > self.MAX_EVENTS:
            self.dropped = self.events[self.MAX_EVENTS // 2]["revision"]
            self.events = [e for e in self.events if e["revision"] > self.dropped]

    async def wake(self):
        async with self.changed:
            self.changed.notify_all()

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for number in [n for n, lease in self.leases.items() if lease["until"] < now]:
                await self.end_lease(number)

    async def end_lease(self, number):
        self.leases.pop(number, None)
        for key in [k for k, item in self.items.items() if item["lease"] == number]:
            self.drop(key, self.revision + 1)
        await self.wake()

    async def handle(self, request, reader, writer):
        status, value = await self.serve(request)
        writer.write(plain_answer(status, json.dumps(value).encode(), [("Content-Type", "application/json")]))
        return True

    async def serve(self, request):
        prefix, after = request.query.get("path_prefix", ""), request.query.get("after", "")
        if request.path == "/kv-key":
            item = self.items.get(request.query["key"])
            return (200, {**item, "current_rev": self.revision}) if item else (404, {"current_rev": self.revision})
        if request.path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {"items": [self.items[k] for k in keys[:500]], "more_pages": len(keys) > 500,
                         "current_rev": self.revision}
        if request.path == "/kv-watch":
            return await self.watch(prefix, int(after), int(request.query["wait_ms"]) / 1000)
        if request.path == "/kv-txn":
            return await self.commit(json.loads(request.body))
        if request.path == "/kv-lease":
            self.next_lease += 1
            span = max(json.loads(request.body)["ttl_ms"], 1000) / 1000
            self.leases[self.next_lease] = {"span": span, "until": time.monotonic() + span}
            return 200, {"lease": self.next_lease, "ttl_ms": int(span * 1000)}
        number = int(request.path.rsplit("/", 1)[1])
        if number not in self.leases:
            return 404, {}
        lease = self.leases[number]
        if request.path.startswith("/kv-keep/"):
            lease["until"] = time.monotonic() + lease["span"]
        else:
            await self.end_lease(number)
        return 200, {"lease": number, "ttl_ms": int(lease["span"] * 1000)}

    async def watch(self, prefix, after, wait):
        until = time.monotonic() + wait
        while True:
            if after < self.dropped:
                return 410, {}
            seen = self.revision
            events = [e for e in self.events if e["revision"] > after and e["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": seen}
            async with self.changed:
                try:
                    if self.revision == seen:
                        await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def commit(self, body):
        rows = body.get("expected", [])
        if any(self.items.get(r["key"], {"revision": 0})["revision"] != r["revision"] for r in rows):
            return 412, {"items": [self.items[r["key"]] for r in rows if r["key"] in self.items]}
        if any(p.get("lease", 0) and p["lease"] not in self.leases for p in body.get("puts", [])):
            return 404, {}
        revision = self.revision + 1
        for put in body.get("puts", []):
            self.write(put["key"], base64.b64decode(put["value"]), put.get("lease", 0), revision)
        for key in body.get("remove", []):
            self.drop(key, revision)
        await self.wake()
        return 200, {"revision": revision}


class Edge:
    """One edge machine: the program, with a settings file as the platform writes it."""

    def __init__(self, number, folder, store_port, settings):
        self.number, self.folder, self.child = number, pathlib.Path(folder), None
        self.name, self.log = f"edge-{number}", open(self.folder / f"edge-{number}.log", "ab")
        self.frontend, self.readiness, self.internal = free_port(), free_port(), free_port()
        self.store_port, self.settings, self.starts = store_port, settings, 0

    def start(self):
        self.starts += 1
        path = self.folder / f"edge-{self.number}.conf"
        lines = {"node_name": self.name, "role": "edge", "instance_class": "edge", "serves": "edge",
                 "ip": "127.0.0.1", "zone": "norte", "region": "sierra", "zones.norte": "sierra",
                 "listen.frontend": f"127.0.0.1:{self.frontend}",
                 "listen.readiness": f"127.0.0.1:{self.readiness}",
                 "internal_ports": f"{self.internal},{self.internal}",
                 "platform.address": f"127.0.0.1:{self.store_port}", "platform.form": "kv",
                 "platform.ttl_min_ms": "1000", "platform.value_bytes": "1048576",
                 "bootstrap": str(self.starts == 1).lower(), "heartbeat_ms": "1200",
                 "limits.cpu_share": "0.17", "limits.cores": "1", "limits.memory_mb": "182",
                 "limits.file_descriptors": "2870", **self.settings}
        path.write_text("".join(f"{name}={value}\n" for name, value in lines.items()), encoding="utf-8")
        self.child = subprocess.Popen([edge_program()], stdout=self.log, stderr=self.log,
                                      env={"BAMBOOCHUTE_CONFIG": str(path), "PATH": os.environ.get("PATH", "")})

    def signal(self, number):
        if self.child and self.child.poll() is None:
            self.child.send_signal(number)

    def stop(self):
        if self.child and self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
        if self.child:
            self.child.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.readiness)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            first, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return " 200 " in first
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False


SETTINGS = {"bounds.seed_lag_s": "3", "bounds.reuse_after_s": "2", "bounds.stable_window_ms": "3000",
            "bounds.ack_ms": "4000", "bounds.catch_up_s": "4", "bounds.drain_ms": "2000", "bounds.grace_s": "8",
            "bounds.loss_slack_ms": "200", "bounds.config_apply_ms": "2000", "bounds.downgrade_slack_ms": "250",
            "bounds.outer_ms": "5000", "bounds.retry_budget_ratio": "0.2", "bounds.budget_window_s": "10",
            "bounds.budget_slack": "104", "bounds.recover_s": "12", "bounds.pass_ms": "120",
            "bounds.fencing_enforced": "true", "bounds.lease_ms": "3000", "bounds.thaw_ms": "300"}


async def start_edges(folder, store, count, settings=None):
    edges = [Edge(n, folder, store.port, {**SETTINGS, **(settings or {})}) for n in range(count)]
    for edge in edges:
        edge.start()
    return edges


async def wait_ready(edges, limit_s=15):
    until = time.monotonic() + limit_s
    for edge in edges:
        while not await edge.is_ready():
            if time.monotonic() > until:
                raise NotRun(f"{edge.name} did not get ready")
            await asyncio.sleep(0.05)


def run_case(folder, play):
    """Runs play(record, directory, started), ends all processes in `started`, and returns the exit code."""
    record, started = Record(folder), []
    code = EXIT_NOT_RUN
    with tempfile.TemporaryDirectory() as directory:
        try:
            loop = asyncio.new_event_loop()
            asyncio.set_event_loop(loop)
            code = loop.run_until_complete(asyncio.wait_for(play(record, directory, started), 112))
        except (NotRun, asyncio.TimeoutError, OSError) as failure:
            record.write(f"could not run: {failure!r}")
            print(f"could not run: {failure!r}")
        finally:
            for edge in started:
                edge.stop()
            for path in pathlib.Path(directory).glob("edge-*") if os.environ.get("KEEP_LOGS") else ():
                (pathlib.Path(os.environ["KEEP_LOGS"]) / path.name).write_bytes(path.read_bytes())
            record.close()
    return code


def main(folder, play):
    """Runs a case as the whole work of this process; connections that are still open end with it."""
    code = run_case(folder, play)
    sys.stdout.flush()
    os._exit(code)
