"""Model workers that hold one model each for themselves, clients that ask for all of them, and the leaving of one."""

import asyncio
import base64
import json
import time

import rig as rigs
import stand_ins

# The bound of the rules, and how long a worker that has left goes on beyond it: "a little longer (at times many
# seconds)".
DRAIN_S = 2.0
EVENTS, EVENT_PAUSE_S = 13, 0.06
LOAD_S, DISK_S = 6.0, 0.36
PER_SECOND = 24
# Each worker has room for two of them, and every model is held by one worker only, as rare models are.
MODELS = [f"daka51000{n}" for n in range(6)]
WORKERS = 3


class Engine(rigs.Worker):
    """A model worker; it carries out orders one at a time."""

    def __init__(self, name, service, store, record, models):
        super().__init__(name, service, store, record)
        self.models, self.disk, self.busy, self.orders, self.fence = list(models), set(models), False, 0, 0
        self.running, self.gone_at, self.is_down = 0, None, False
        # Called with the number of the instance and the seconds since the entry was removed.
        self.is_late = lambda instance, passed: passed > DRAIN_S

    def copies(self):
        return {"models": [{"name": model, "version": 1, "adapters": []} for model in self.models],
                "available": {"in_memory": sorted(self.disk), "on_disk": sorted(self.disk)}}

    def says(self):
        return {**super().says(), **self.copies()}

    def order(self, order):
        if order["fencing_token"] < self.fence:
            return 412
        self.fence = order["fencing_token"]
        if self.busy or order.get("expected", self.orders) != self.orders:
            return 409
        model, is_load = order["model"], order["operation"] == "load"
        if (model in self.models) == is_load:
            return 200
        self.orders += 1
        self.busy = True
        asyncio.get_running_loop().create_task(self.carry_out(model, is_load))
        return 202

    async def carry_out(self, model, is_load):
        if is_load:
            await asyncio.sleep(DISK_S if model in self.disk else LOAD_S)
            self.models.append(model)
            self.disk.add(model)
        else:
            self.models.remove(model)
        self.busy = False
        if self.gone_at is None and not self.is_down:
            await self.register()

    async def work(self, request, reader, writer):
        if request.path == "/report":
            state = {"born": self.born, "phase": "combined", **self.copies(), "busy": self.busy,
                     "sequence": self.orders, "waiting": 0, "running": self.running, "kv_used": 0,
                     "kv_total": 232000, "handles": 0, "pending": []}
            writer.write(stand_ins.answer_bytes(200, json.dumps(state).encode()))
            return
        if request.path == "/order":
            order = json.loads(request.body)
            status = self.order(order)
            self.record.add(f"{self.name} is ordered to {order['operation']} {order['model']}: {status}")
            writer.write(stand_ins.answer_bytes(status))
            return
        if request.header("X-Model") not in self.models:
            writer.write(stand_ins.answer_bytes(421, headers=[("X-Instance-Id", self.name)]))
            return
        await self.run(request, writer)

    async def run(self, request, writer):
        attempt = request.header("X-Attempt-Id")
        instance = int(attempt.split("-")[1])
        passed = None if self.gone_at is None else time.monotonic() - self.gone_at
        self.record.add(f"{self.name} runs {attempt}"
                        + ("" if passed is None else f", {passed:.3f} s after its entry was removed"))
        if passed is not None and self.is_late(instance, passed):
            self.record.violation(f"DRAIN: {self.name} got {attempt} {passed:.3f} s after the store removed its "
                                  f"entry, from instance {instance}, which was in touch")
        self.running += 1
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked",
                 *[f"{name}: {value}" for name, value in self.headers(request)]]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        try:
            for number in range(1, EVENTS + 1):
                await asyncio.sleep(EVENT_PAUSE_S)
                if self.is_down:
                    self.record.add(f"{self.name} ended while it ran {attempt}")
                    return
                event = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1


def configuration():
    models = [{"name": model, "weights_mb": 72700, "load_s": LOAD_S, "warm_s": 0.28, "disk_s": DISK_S,
               "adapters": 0, "adapter_mb": 66} for model in MODELS]
    return {"version": 3, "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                                     "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
            "routes": [{"name": "grant-approval", "hostname": rigs.HOST, "path_prefix": "/lohu930/",
                        "type": "stream", "resumable": False, "timeout_ms": 11000, "target_latency_ms": 2000,
                        "gap_target_ms": 250, "max_attempts": 1, "priority": 1, "service": "asistente",
                        "session_affinity": True}],
            "services": [{"name": "asistente", "max_connections": 720, "health_path": "/healthz",
                          "engine": {"slots": 64, "kv_cache_tokens": 232000, "weights_mb": 200000,
                                     "adapter_slots": 8, "loads_per_s": 2.1, "models": models}}]}


def holder_of_lease(store):
    """Returns the number of the instance whose record under a lease the store holds, as an operator can read it."""
    for item in store.items.values():
        value = base64.b64decode(item["value"])
        if item["lease"] and b"instance" in value:
            return int(json.loads(value)["instance"].rsplit("-", 1)[1])
    raise RuntimeError("no instance holds a lease")


class Chats:
    """Clients that ask for all models through all instances."""

    def __init__(self, rig):
        self.rig, self.jobs, self.ends = rig, [], {}
        self.task = asyncio.get_running_loop().create_task(self.send_all())

    async def send_all(self):
        number = 0
        while True:
            for instance in self.rig.instances:
                number += 1
                self.jobs.append(asyncio.get_running_loop().create_task(self.approve(number, instance)))
                await asyncio.sleep(1 / PER_SECOND / len(self.rig.instances))

    async def approve(self, number, instance):
        attempt = f"{number:05d}-{instance.number}"
        model = MODELS[number // len(self.rig.instances) % len(MODELS)]
        answer = await rigs.request(instance, "POST", "/lohu930/2f", attempt, 11000,
                                    [("X-Model", model), ("X-Token-Usage", "9190,52"),
                                     ("X-Prompt-Prefix", f"5c1e07a2:6300,{number:08x}:2890")], b"x" * 1800)
        end = f"{answer.status} {'complete' if answer.is_complete else 'broken off'}"
        self.ends[end] = self.ends.get(end, 0) + 1
        if answer.status != 200 or not answer.is_complete:
            self.rig.record.add(f"client got for {attempt}: {answer.text()}")

    async def end(self):
        self.task.cancel()
        await asyncio.wait(self.jobs, timeout=12)
        self.rig.record.add(f"answers: {self.ends}")


async def begin(rig):
    """Starts workers, a way to the store for each instance, and the instances; returns workers and ways."""
    engines = [Engine(f"i-{n + 1}f3a91c2", "asistente", rig.store, rig.record, MODELS[n::WORKERS])
               for n in range(WORKERS)]
    for engine in engines:
        await engine.begin()
    ways = []
    for instance in rig.instances:
        ways.append(stand_ins.Proxy(rig.store.port))
        instance.store_port = await ways[-1].start()
    await rig.configure(configuration())
    await rig.start_instances()
    return engines, ways


async def cut(rig, ways, number, length_s):
    """Cuts one instance off from the store; its connections to it are reset."""
    rig.record.add(f"instance {number} alone is cut off from the store for {length_s} s")
    ways[number - 1].mode = "reset"
    ways[number - 1].reset_all()
    await asyncio.sleep(length_s)
    ways[number - 1].mode = "pass"
    rig.record.add(f"the cut of instance {number} is over")


async def leave(rig, engine, linger_s):
    """Lets a worker leave without a word; it serves on for the time that it has to, and linger_s beyond it."""
    engine.gone_at = time.monotonic()
    await rig.store.remove(f"servers/{engine.name}")
    rig.record.add(f"the store has removed the entry of {engine.name}, which leaves without a word")
    await asyncio.sleep(DRAIN_S + linger_s)
    engine.is_down = True
    engine.crash()
    rig.record.add(f"{engine.name} has ended")
