"""Faults of the soak test that concern streams which callers take up, and their checks.

- out_of_step: an instance is cut off from the others, from the store or from both, or stands still, while upstreams of
  another version begin. It joins no stream that began there through others, and what it can't tell it refuses at
  once; where upstreams of their version serve, nearly all go on, if elsewhere.
"""

import asyncio
import contextlib
import signal
import time

FAULTS = ("out_of_step",)
# How often callers take a stream up, and with what pause, and the number of streams that is enough to tell.
TAKE_UPS, TAKE_UP_PAUSE_S, MIN_DUE = 3, 0.2, 10
# Refusals that a configuration may ask for, which has no such route or allows shorter requests only.
BY_CONFIGURATION = {404, 413, 431}
# Streams that come back to an instance that is out of step, the events that they have by then, of how many one need
# not go on, and the time after which what can't be told is refused at the latest.
RETURNING, RETURNING_EVENTS, RETURNING_PER_LOSS, AT_ONCE_S = 16, 4, 10, 1.5


class StreamFaults:
    """Injects these faults, one at a time, into a run of the soak test."""

    def __init__(self, soak):
        self.soak, self.random = soak, soak.random
        self.is_active, self.number, self.results = False, 0, {}
        # Whether each of the streams that came back to an instance out of step went on.
        self.returned = []

    async def inject(self, kind):
        # A release at a time, of which the names of its upstreams tell.
        if self.is_active or self.soak.open_kills or self.soak.is_over:
            return
        self.is_active = True
        self.number += 1
        try:
            await getattr(self, kind)()
        finally:
            self.is_active = False

    def pick_service(self):
        """Returns the upstreams of a service with streams, and the kind of request for them."""
        return self.random.choice(((self.soak.engines, "talk"), (self.soak.broadcasters, "listen")))

    async def end_release(self, former, workers):
        for worker in former:
            await worker.leave()
        await asyncio.sleep(2.0)
        await self.soak.end_workers(former, workers)

    @staticmethod
    def version_of(stream):
        return stream.events()[0].split(" ")[3]

    def serves_version(self, stream):
        """Whether an upstream of the version that began a stream serves now, with or without its model."""
        now, version = time.monotonic(), self.version_of(stream)
        workers = self.soak.engines if stream.kind == "talk" else self.soak.broadcasters
        return any(worker.version == version and worker.server.is_serving() and worker.state == "ready"
                   and not worker.is_leaving and worker.paused_until < now
                   and worker.silent_until < now for worker in workers)

    def check_joined(self, stream):
        if len(stream.versions()) > 1:
            self.soak.record.rule(f"{stream.begun_by} was taken up and joined from {sorted(stream.versions())}")

    # An instance that is out of step

    async def out_of_step(self):
        instance = self.random.choice(self.soak.instances)
        how = self.random.choice(("others", "store", "others and store", "pause"))
        workers, kind = self.pick_service()
        self.soak.log_fault(f"out of step: instance {instance.number}, {how}, {kind}")
        with contextlib.ExitStack() as ends:
            self.bring_out_of_step(instance, how, ends)
            await asyncio.sleep(0.2)
            former = await self.soak.begin_release(workers)
            await asyncio.sleep(self.random.uniform(0.3, 1.0))
            others = [other for other in self.soak.instances if other is not instance]
            names = [f"step-{self.number}-{how.replace(' ', '-')}-{n}" for n in range(RETURNING)]
            streams = await asyncio.gather(*(self.begin_and_leave(name, kind, self.random.choice(others))
                                             for name in names))
            returning = [asyncio.get_running_loop().create_task(self.come_back(stream, instance, how))
                         for stream in streams if stream]
            if how == "pause":
                await asyncio.sleep(self.random.uniform(0.0, 0.3))
                instance.send(signal.SIGCONT)
            if returning:
                await asyncio.wait(returning, timeout=20)
        await self.end_release(former, workers)

    def bring_out_of_step(self, instance, how, ends):
        """Cuts an instance off, or stops it, until the context ends."""
        if how == "pause":
            instance.send(signal.SIGSTOP)
            ends.callback(instance.send, signal.SIGCONT)
            return
        # What it is told by others it can't know.
        instance.silenced.append(time.monotonic())
        ends.callback(lambda: instance.silenced.append(time.monotonic()))
        if "others" in how:
            ends.enter_context(self.soak.peer_links.cut(instance.internal_port))
        if "store" in how:
            instance.proxy.mode = self.random.choice(("reset", "silent"))
            if instance.proxy.mode == "reset":
                instance.proxy.reset_all()
            ends.enter_context(self.soak.span(instance.cuts))
            ends.callback(setattr, instance.proxy, "mode", "pass")

    async def begin_and_leave(self, name, kind, instance):
        """Begins a stream and closes its connection after some events; returns None if that failed."""
        stream = self.soak.make_stream(name, kind)
        request = asyncio.get_running_loop().create_task(self.soak.try_stream(stream, name, instance))
        while not request.done() and len(stream.events()) < RETURNING_EVENTS:
            await asyncio.sleep(0.02)
        if request.done():
            return None
        self.soak.exchange(name).has_left = True
        request.cancel()
        await asyncio.wait([request])
        stream.drop_partial_event()
        return stream

    async def come_back(self, stream, instance, how):
        """Takes a stream up at the instance that is out of step, and elsewhere if it refuses."""
        begun_at, events = time.monotonic(), len(stream.events())
        is_due, status, tried = self.serves_version(stream), None, []
        was_running = instance.child.poll() is None and not instance.was_stopping(begun_at)
        others = [other for other in self.soak.instances if other is not instance]
        while len(tried) <= TAKE_UPS and status != 200 and len(stream.events()) == events:
            target = self.random.choice(others) if tried else instance
            stream.requests += 1
            attempt = f"{stream.begun_by}-{stream.requests}"
            status = await self.soak.try_stream(stream, attempt, target)
            is_due = is_due and self.serves_version(stream) and status not in BY_CONFIGURATION
            self.check_joined(stream)
            if not tried and status == 503 and "others" in how and was_running:
                took_s = self.soak.exchange(attempt).took_s()
                if took_s > AT_ONCE_S:
                    self.soak.record.rule(f"{stream.begun_by} was refused after {took_s:.2f} s by an instance that "
                                          f"was cut off from {how}")
            tried.append(status)
            await asyncio.sleep(TAKE_UP_PAUSE_S)
        went_on = status == 200 or len(stream.events()) > events
        at = "refused" if not went_on else "went on there" if len(tried) == 1 else "went on elsewhere"
        self.soak.count(f"out of step ({how}), {at}")
        is_sound = self.soak.is_store_sound(begun_at, others) and not self.soak.cut_addresses
        if is_due and is_sound:
            self.returned.append((went_on, f"{stream.begun_by} {stream.model} of {self.version_of(stream)}: {tried}"))

    # Checks

    def check(self):
        self.check_returned()

    def check_returned(self):
        """Checks how many of the streams went on that came back to instances which were out of step."""
        lost = [text for went_on, text in self.returned if not went_on]
        if self.returned:
            self.results["out_of_step"] = [len(self.returned) - len(lost), len(self.returned)]
        if len(self.returned) >= MIN_DUE and len(lost) * RETURNING_PER_LOSS > len(self.returned):
            self.soak.record.rule(f"of {len(self.returned)} streams that came back to an instance out of step, "
                                  f"{len(self.returned) - len(lost)} went on, though upstreams of their version "
                                  f"served: {lost[:5]}")
