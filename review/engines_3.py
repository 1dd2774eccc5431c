"""Stand-ins for the model service: its workers, clients and configuration, with the figures of the users' sheets."""

import asyncio
import json
import time

import standins_3 as s3

DEADLINE_S, RETRY_LEFT_S = 5.0, 0.5
# The part of the prompt that all requests of the route have in common, as in the sheets.
SHARED_PART = "5ca1ab1e0001:6300"
LAPSE_S, LOAD_S, LOAD_FROM_DISK_S, HEARTBEAT_S = 3.6, 6.0, 0.38, 1.2
MODELS = [{"name": f"m{n}", "weights_mb": 65500, "load_s": 6.0, "disk_s": 0.76, "warm_s": 0.38, "adapters": 0,
           "adapter_mb": 40} for n in range(4)]


class Kind:
    """A kind of request: its rate over all clients, and how a worker answers it."""

    def __init__(self, requests_per_s, clients, prefill_s, events, event_s, is_chunked):
        self.requests_per_s, self.clients, self.prefill_s = requests_per_s, clients, prefill_s
        self.events, self.event_s, self.is_chunked = events, event_s, is_chunked


class Engine(s3.Server):
    """A worker of the model service.

    Its streams have chunks, or else no length: then they end with their connection.
    """

    def __init__(self, number, store, record, models, kind):
        super().__init__()
        self.number, self.store, self.record, self.kind = number, store, record, kind
        self.disk, self.starts = set(models), 0
        self.begin_process(models)

    def begin_process(self, models):
        self.starts += 1
        self.id = f"i-{self.number:02}{self.starts:02}"
        self.models, self.sequence, self.fence, self.busy, self.beats = list(models), 0, 0, False, 0
        self.born, self.running = int(time.time() * 1000), set()

    def says(self):
        return {"service": "drafting", "address": f"127.0.0.1:{self.port}", "zone": "norte", "version": "v1",
                "slots": 64, "state": "ready", "cold_remaining_ms": 0, "sequence": self.beats, "born": self.born,
                "models": [{"name": m, "version": 1, "adapters": []} for m in self.models],
                "available": {"in_memory": sorted(self.disk), "on_disk": sorted(self.disk)}}

    async def register(self):
        self.beats += 1
        await self.store.put(f"servers/{self.id}", json.dumps(self.says()).encode())

    async def start(self):
        await self.listen()
        await self.register()
        asyncio.get_running_loop().create_task(self.beat(self.id))

    async def beat(self, own):
        while own == self.id and self.server:
            await asyncio.sleep(HEARTBEAT_S)
            if own == self.id and self.server:
                await self.register()

    async def crash(self, down_s):
        """The process ends; another one starts after down_s, empty and under another id."""
        self.record.write(f"worker {self.id} crashes under {sorted(self.running)}")
        former = self.id
        self.end()
        self.begin_process([])
        loop = asyncio.get_running_loop()
        loop.create_task(self.lapse(former))
        await asyncio.sleep(down_s)
        await self.start()
        self.record.write(f"worker {self.id} starts")

    async def lapse(self, former):
        await asyncio.sleep(LAPSE_S)
        await self.store.remove(f"servers/{former}")

    async def handle(self, request, reader, writer):
        if request.header("X-Expect-Instance") not in ("", self.id):
            writer.write(s3.plain_answer(421, headers=[("X-Instance-Id", self.id)]))
            return True
        if request.path == "/report":
            report = {**self.says(), "phase": "combined", "busy": self.busy, "sequence": self.sequence, "waiting": 0,
                      "running": len(self.running), "kv_used": 0, "kv_total": 232000, "handles": 0, "pending": []}
            writer.write(s3.plain_answer(200, json.dumps(report).encode()))
            return True
        if request.path == "/order":
            writer.write(s3.plain_answer(self.order(json.loads(request.body))))
            return True
        return await self.run(request, reader, writer)

    def order(self, order):
        if order["fencing_token"] < self.fence:
            return 412
        self.fence = order["fencing_token"]
        if self.busy or order.get("expected", self.sequence) != self.sequence:
            return 409
        model, is_load = order["model"], order["operation"] == "load"
        if (model in self.models) == is_load:
            return 200
        self.sequence += 1
        self.record.write(f"worker {self.id} is ordered to {order['operation']} {model}")
        if not is_load:
            self.models.remove(model)
            return 202
        self.busy = True
        asyncio.get_running_loop().create_task(self.load(model, self.id))
        return 202

    async def load(self, model, own):
        await asyncio.sleep(LOAD_FROM_DISK_S if model in self.disk else LOAD_S)
        if own == self.id:
            self.models.append(model)
            self.disk.add(model)
            self.busy = False
            await self.register()

    async def run(self, request, reader, writer):
        attempt, own = request.header("X-Attempt-Id"), self.id
        if request.header("X-Model") not in self.models:
            writer.write(s3.plain_answer(421, headers=[("X-Instance-Id", self.id)]))
            return True
        first = int(request.header("Last-Event-Id") or 0) + 1
        self.record.write(f"worker {own} runs {attempt} from event {first}")
        self.running.add(attempt)
        try:
            await asyncio.sleep(self.kind.prefill_s)
            end = "Transfer-Encoding: chunked\r\n" if self.kind.is_chunked else "Connection: close\r\n"
            writer.write(f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {attempt}\r\n"
                         f"{s3.SIGNATURE}: s.{own}\r\n{end}\r\n".encode())
            for number in range(first, self.kind.events + 1):
                event = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n" if self.kind.is_chunked else event)
                await writer.drain()
                await asyncio.sleep(self.kind.event_s)
            if self.kind.is_chunked:
                writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.running.discard(attempt)
        return self.kind.is_chunked


class Client:
    """Sends requests one after the other, each through an edge as the balancer would choose it."""

    def __init__(self, number, edges, record, outcomes, chance, kind):
        self.number, self.edges, self.record, self.outcomes, self.random = number, edges, record, outcomes, chance
        self.kind = kind

    async def play(self, until):
        sent = 0
        while time.monotonic() < until:
            await asyncio.sleep(self.random.expovariate(self.kind.requests_per_s / self.kind.clients))
            sent += 1
            asyncio.get_running_loop().create_task(self.ask(f"c{self.number}-{sent}"))

    async def ask(self, name):
        """One request of a user, with one retry within its deadline."""
        model, until = self.random.choice(MODELS)["name"], time.monotonic() + DEADLINE_S
        for attempt in (f"{name}a", f"{name}b"):
            left = until - time.monotonic()
            outcome = {"sent": self.record.now(), "result": "no answer", "pause": 0.0}
            self.outcomes.append(outcome)
            try:
                await asyncio.wait_for(self.send(attempt, model, left, outcome), left)
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError) as failure:
                outcome["result"] = f"no answer ({type(failure).__name__})"
            self.record.write(f"{attempt} sent at {outcome['sent']:.3f}: {outcome['result']}")
            if outcome["result"] == "served" or time.monotonic() > until - RETRY_LEFT_S:
                return
            await asyncio.sleep(min(outcome["pause"], (until - time.monotonic()) / 3))

    async def send(self, attempt, model, left, outcome):
        edge = self.random.choice(self.edges)
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", edge.frontend), 1)
        try:
            writer.write((f"POST /lay/local/ HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {attempt}\r\n"
                          f"X-Deadline-Ms: {int(left * 1000)}\r\nX-Model: {model}\r\nX-Token-Usage: 9190,52\r\n"
                          f"X-Prompt-Prefix: {SHARED_PART},{self.random.getrandbits(44):x}:2890\r\n"
                          "Content-Length: 10\r\n\r\n0123456789").encode())
            first, headers = await s3.read_head(reader)
            status = int(first.split(" ")[1])
            if headers.get("transfer-encoding") != "chunked":
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                outcome["pause"] = float(headers.get("retry-after") or 0)
                outcome["result"] = f"{status} {body.decode(errors='replace')[:160]}"
                return
            text = b""
            while size := int(await reader.readuntil(b"\r\n"), 16):
                text += await reader.readexactly(size + 2)
            is_whole = text.count(b"data: ") == self.kind.events and s3.SIGNATURE.lower() in headers
            outcome["result"] = "served" if status == 200 and is_whole else "incomplete"
        finally:
            writer.close()


def configuration(version):
    route = {"name": "local", "hostname": "desk.example", "path_prefix": "/lay/local/", "type": "stream",
             "service": "drafting", "max_attempts": 2, "timeout_ms": 5000, "target_latency_ms": 800,
             "gap_target_ms": 250, "priority": 1, "resumable": True, "session_affinity": True}
    engine = {"slots": 64, "kv_cache_tokens": 232000, "weights_mb": 140000, "adapter_slots": 8, "loads_per_s": 2.8,
              "models": MODELS}
    return json.dumps({"version": version, "routes": [route],
                       "services": [{"name": "drafting", "max_connections": 720, "health_path": "/healthz",
                                     "engine": engine}],
                       "limits": {"max_header_bytes": 32768, "max_body_bytes": 1048576, "header_timeout_ms": 5000,
                                  "idle_timeout_ms": 15000}}).encode()


def judge(record, outcomes, final_at, back_at, recover_s):
    """Judges RECOVER: less than a quarter is served later than recover_s, though a quarter or more was before."""
    before = [o for o in outcomes if o["sent"] < final_at]
    after = [o for o in outcomes if o["sent"] > back_at + recover_s]
    shares = [sum(o["result"] == "served" for o in part) / max(len(part), 1) for part in (before, after)]
    if len(after) < 20 or shares[0] < 0.25:
        record.write(f"too few requests to judge: {len(after)}, or too few served before: {shares[0]:.3f}")
        return s3.EXIT_NOT_RUN
    is_broken = shares[1] < 0.25
    text = (f"before the final fault {shares[0]:.3f} of {len(before)} requests were served; of those sent later than "
            f"{recover_s:.0f} s after the machines were back, {shares[1]:.3f} of {len(after)}: RECOVER "
            f"{'broken' if is_broken else 'held'}")
    record.write(text)
    print(text)
    return s3.EXIT_BROKEN if is_broken else s3.EXIT_HELD
