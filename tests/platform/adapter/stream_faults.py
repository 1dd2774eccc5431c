"""Faults of the soak test that concern streams which callers take up, and their checks.

- crashed_release: upstreams of another version begin beside the first ones, half of these leave in steps, and some of
  all crash meanwhile; crashes_and_changes: upstreams crash silently or for good beside changes of timeouts, idle
  times and weights. In both, streams that callers take up go on nearly as often as new ones begin, where upstreams of
  their version serve.
- out_of_step: an instance is cut off from the others, from the store or from both, or stands still, while upstreams of
  another version begin. It joins no stream that began there through others, and what it can't tell it refuses at
  once; where upstreams of their version serve, nearly all go on, if elsewhere.
- odd_continuations: upstreams break streams and answer what is to continue them with something else, of which no caller
  gets anything. This is checked as for all streams.
"""

import asyncio
import contextlib
import signal
import time

import stand_ins

FAULTS = ("crashed_release", "crashes_and_changes", "out_of_step", "odd_continuations")
# Share of a service's upstreams that crash, when they are back, and how long their former registrations stay.
CRASHED_SHARE, DOWN_S, LAPSE_S = 0.4, 1.0, 3.0
# Pauses between two upstreams that leave, and of a crash until all connections are reset.
STEP_S, RESET_S = 0.4, 0.4
# Streams that callers hold open beside crashes, for how long, and how often they take one up, and with what pause at
# least; a refusal may name a longer one, of at most MAX_PAUSE_S.
HOLDERS, HOLD_S, TAKE_UPS, TAKE_UP_PAUSE_S = 36, 9.0, 3, 0.2
MAX_PAUSE_S = 2.0
# Take-ups and new streams that are enough to tell, and the part of the new ones' share that go on at least.
MIN_DUE, MIN_SHARE = 10, 0.5
# Refusals that a configuration may ask for, which has no such route or allows shorter requests only.
BY_CONFIGURATION = {404, 413, 431}
# Streams that come back to an instance that is out of step, the events that they have by then, of how many one need
# not go on, and the time after which what can't be told is refused at the latest.
RETURNING, RETURNING_EVENTS, RETURNING_PER_LOSS, AT_ONCE_S = 16, 4, 10, 1.5
# Share of the streams that break beside odd continuations, and of these continuations.
ODD_BREAKS, ODD_SHARE = 1.5, 0.6


class Tally:
    """How many streams began and went on beside one fault."""

    def __init__(self):
        self.begun, self.went_on, self.lost = [], [], []
        # Since when streams count.
        self.since = None


class StreamFaults:
    """Injects these faults, one at a time, into a run of the soak test."""

    def __init__(self, soak):
        self.soak, self.random = soak, soak.random
        self.is_active, self.number, self.results = False, 0, {}
        # Whether each of the streams that came back to an instance out of step went on.
        self.returned = []
        # The names of faults beside which streams were counted, with the counts.
        self.tallies = []

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

    # Crashes

    async def crashed_release(self):
        workers, kind = self.soak.engines, "talk"
        async with self.held_streams("crashed_release", kind) as tally:
            former = await self.soak.begin_release(workers)
            await asyncio.sleep(self.random.uniform(0.5, 1.5))
            leaving = former[:(len(former) + 1) // 2]
            steps = asyncio.get_running_loop().create_task(self.leave_in_steps(leaving, workers))
            await asyncio.sleep(self.random.uniform(0.5, 1.0) * STEP_S * len(leaving))
            self.begin_to_count(tally)
            for worker in self.pick_crashed(workers):
                worker.end_process(DOWN_S, lambda worker=worker: worker.begin_anew(LAPSE_S - DOWN_S))
            await asyncio.sleep(RESET_S)
            for worker in workers if not self.soak.is_over else ():
                self.reset_connections(worker)
            await asyncio.sleep(HOLD_S - RESET_S)
            await steps
        await self.end_release([worker for worker in former if worker in workers], workers)

    async def leave_in_steps(self, leaving, workers):
        for worker in leaving:
            if worker.server.is_serving():
                await worker.leave()
            await asyncio.sleep(STEP_S)
        await asyncio.sleep(1.0)
        await self.soak.end_workers(leaving, workers)

    async def end_release(self, former, workers):
        for worker in former:
            await worker.leave()
        await asyncio.sleep(2.0)
        await self.soak.end_workers(former, workers)

    def pick_crashed(self, workers):
        """Returns those of the upstreams that crash, of any version; none after the end of the run."""
        serving = [worker for worker in workers if worker.server.is_serving() and not self.soak.is_over]
        return self.random.sample(serving, min(len(serving), max(1, round(CRASHED_SHARE * len(workers)))))

    def reset_connections(self, worker):
        for writer in list(worker.connections):
            if not stand_ins.is_silent(writer):
                stand_ins.reset(writer)

    async def crashes_and_changes(self):
        workers, kind = self.soak.engines, "talk"
        changes = asyncio.get_running_loop().create_task(self.soak.configure_steadily())
        async with self.held_streams("crashes_and_changes", kind) as tally:
            await asyncio.sleep(self.random.uniform(1.0, 2.0))
            self.begin_to_count(tally)
            for how in self.random.sample(("dark", "gone"), 2) * 2:
                self.soak.log_fault(f"{how}: {kind}")
                for worker in self.pick_crashed(workers):
                    asyncio.get_running_loop().create_task(self.crash(worker, how))
                await asyncio.sleep(HOLD_S / 4)
        changes.cancel()

    async def crash(self, worker, how):
        """Lets an upstream end without a reset and begin anew, or for good, with another one in its place later."""
        if how == "dark":
            if await worker.go_dark(DOWN_S):
                await worker.begin_anew(LAPSE_S - DOWN_S)
        else:
            worker.end_process(LAPSE_S, lambda: worker.begin_anew(0, is_at_new_address=True))

    def begin_to_count(self, tally):
        tally.since = time.monotonic()
        self.soak.log_fault("streams count from now on")

    @contextlib.asynccontextmanager
    async def held_streams(self, name, kind):
        """Lets callers hold streams open and take up those that break, and counts how that went."""
        tally, is_ended = Tally(), asyncio.Event()
        self.tallies.append((name, tally))
        holders = [asyncio.get_running_loop().create_task(self.hold_streams(name, kind, holder, tally, is_ended))
                   for holder in range(HOLDERS)]
        try:
            yield tally
        finally:
            is_ended.set()
            await asyncio.wait(holders, timeout=20)

    async def hold_streams(self, name, kind, holder, tally, is_ended):
        sent = 0
        await asyncio.sleep(self.random.uniform(0, 1.5))
        while not is_ended.is_set() and not self.soak.is_over:
            sent += 1
            stream = self.soak.make_stream(f"{name}-{self.number}-{holder}-{sent}", kind)
            begun_at = time.monotonic()
            status = await self.soak.try_stream(stream, stream.begun_by)
            has_begun = bool(stream.events())
            if tally.since and begun_at >= tally.since and status not in BY_CONFIGURATION and self.is_sound(begun_at):
                tally.begun.append(has_begun)
            if has_begun and status is None:
                await self.take_up(stream, tally)
            await asyncio.sleep(TAKE_UP_PAUSE_S)

    async def take_up(self, stream, tally):
        """Takes a stream up that has broken, and counts whether it went on."""
        taken_up_at, events = time.monotonic(), len(stream.events())
        is_due, refusals = False, []
        # The event that the break has cut is not the caller's.
        stream.drop_partial_event()
        while len(refusals) < TAKE_UPS:
            stream.requests += 1
            # It may be there again at the next try.
            is_due = self.serves_version(stream)
            status = await self.soak.try_stream(stream, f"{stream.begun_by}-{stream.requests}")
            is_due = is_due and self.serves_version(stream) and status not in BY_CONFIGURATION
            self.check_joined(stream)
            if status == 200 or len(stream.events()) > events:
                break
            refusals.append(status)
            await asyncio.sleep(self.pause_s(f"{stream.begun_by}-{stream.requests}"))
        went_on = len(refusals) < TAKE_UPS
        self.soak.count(f"take-up beside crashes, {'due' if is_due else 'not due'}, "
                        f"{'went on' if went_on else 'refused'}")
        if tally.since and taken_up_at >= tally.since and is_due and self.is_sound(taken_up_at):
            (tally.went_on if went_on else tally.lost).append(f"{stream.begun_by} {stream.model} of "
                                                              f"{self.version_of(stream)}: {refusals}")

    def pause_s(self, attempt):
        """Returns the pause after an attempt that was refused, as the refusal names it."""
        exchange = self.soak.exchange(attempt)
        return min(max(exchange.retry_after_s if exchange else 0.0, TAKE_UP_PAUSE_S), MAX_PAUSE_S)

    def is_sound(self, moment):
        return self.soak.is_store_sound(moment, self.soak.instances) and not self.soak.cut_addresses

    @staticmethod
    def version_of(stream):
        return stream.events()[0].split(" ")[3]

    def serves_version(self, stream):
        """Whether an upstream of the version that began a stream serves now, with or without its model."""
        now, version = time.monotonic(), self.version_of(stream)
        workers = self.soak.engines if stream.kind == "talk" else self.soak.broadcasters
        return any(worker.version == version and worker.server.is_serving() and worker.state == "ready"
                   and not worker.is_dark and not worker.is_leaving and worker.paused_until < now
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

    # Odd continuations

    async def odd_continuations(self):
        workers = self.soak.engines + self.soak.broadcasters
        breaks = [(worker, worker.breaks) for worker in workers]
        for worker in workers:
            worker.breaks, worker.odd = ODD_BREAKS, ODD_SHARE
        await asyncio.sleep(self.random.uniform(2.0, 4.0))
        for worker, former in breaks:
            worker.breaks, worker.odd = former, 0.0

    # Checks

    def check(self):
        for name, tally in self.tallies:
            self.check_tally(name, tally)
        self.check_returned()

    def check_tally(self, name, tally):
        """Checks how many of the streams beside a fault went on."""
        due, begun = len(tally.went_on) + len(tally.lost), len(tally.begun)
        self.results.setdefault(name, []).append([len(tally.went_on), due, sum(tally.begun), begun])
        if due < MIN_DUE or begun < MIN_DUE:
            return
        if len(tally.went_on) / due < MIN_SHARE * sum(tally.begun) / begun:
            self.soak.record.rule(f"beside {name}, {len(tally.went_on)} of {due} streams went on that were taken up "
                                  f"and whose version served; of {begun} new ones {sum(tally.begun)} began: "
                                  f"{tally.lost[:5]}")

    def check_returned(self):
        """Checks how many of the streams went on that came back to instances which were out of step."""
        lost = [text for went_on, text in self.returned if not went_on]
        if self.returned:
            self.results["out_of_step"] = [len(self.returned) - len(lost), len(self.returned)]
        if len(self.returned) >= MIN_DUE and len(lost) * RETURNING_PER_LOSS > len(self.returned):
            self.soak.record.rule(f"of {len(self.returned)} streams that came back to an instance out of step, "
                                  f"{len(self.returned) - len(lost)} went on, though upstreams of their version "
                                  f"served: {lost[:5]}")
