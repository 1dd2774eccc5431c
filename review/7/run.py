"""A worker's entry is removed from the store while the process of the placement's owner is being started again.

The worker goes on serving for a while, as workers do that never report that they drain. The machines whose processes
were not touched have to stop sending to it within drain_ms.
"""

import asyncio
import os
import pathlib
import random
import signal
import sys
import tempfile
import time

import rig

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = 3.0
STEADY_BEATS, PERIOD_S = 6, 0.02
# From the workers' last heartbeats to the kill, and to the removal of the entry.
KILL_AT_S, REMOVAL_AT_S = 0.65, 0.7
# How long the leaving worker serves after its removal, and how long the others go on after that.
SERVES_S, AFTER_S = 9.0, 2.0
# A round in which the rule held is followed by another one, with another worker that leaves.
ROUNDS = 3


async def beat_all(workers):
    """Writes the heartbeats of all workers that are registered, which were started together."""
    while True:
        for worker in workers:
            if worker.is_registered:
                await worker.beat()
        beat_all.last = time.monotonic()
        beat_all.count += 1
        await asyncio.sleep(rig.Worker.HEARTBEAT_S)


beat_all.last, beat_all.count = 0.0, 0


async def send_requests(instances, sent, until):
    tasks, number = [], 0

    async def one(instance, attempt):
        sent[attempt] = [instance.name, time.monotonic(), None]
        sent[attempt][2] = await rig.order_request(instance, attempt)

    while time.monotonic() < until():
        number += 1
        tasks.append(asyncio.create_task(one(random.choice(instances), f"{number:016x}")))
        await asyncio.sleep(PERIOD_S)
    await asyncio.gather(*tasks)


def check(record, leaver, removed_at, sent, disturbed):
    late, lost = {}, 0
    for at, attempt in leaver.runs:
        instance, _, status = sent[attempt]
        if instance != disturbed and at > removed_at + DRAIN_S:
            late.setdefault(instance, []).append((at - removed_at, attempt))
            lost += status not in (200, 408, 421, 429, 503)
    for instance, sends in sorted(late.items()):
        record.add(f"{instance} sent {len(sends)} requests to {leaver.name} later than drain_ms after its entry was "
                   f"removed, the last one {max(sends)[0]:.3f} s after")
    if late:
        record.add(f"{lost} of these have no answer of the worker")
    return late


async def play_round(store, workers, leaver, instances, sent, record):
    """Lets a worker leave while the owner's process is started again; returns the late requests by instance."""
    first = beat_all.count
    while beat_all.count < first + STEADY_BEATS:
        await asyncio.sleep(0.005)
    owner = next((one for one in instances if one.name == store.last_owner[0]), None)
    if owner is None:
        raise RuntimeError("there is no owner")
    await asyncio.sleep(max(0.0, beat_all.last + KILL_AT_S - time.monotonic()))
    if TROUBLE:
        owner.send(signal.SIGKILL)
    await asyncio.sleep(max(0.0, beat_all.last + REMOVAL_AT_S - time.monotonic()))
    leaver.is_registered = False
    await store.remove(f"servers/{leaver.name}")
    removed_at = time.monotonic()
    record.add(f"store: the entry of {leaver.name} is removed")
    await asyncio.sleep(SERVES_S)
    leaver.end()
    record.add(f"{leaver.name} ends")
    await asyncio.sleep(AFTER_S)
    return check(record, leaver, removed_at, sent, owner.name if TROUBLE else "")


async def play(directory):
    record = rig.Record()
    store = rig.Store(record)
    loop = asyncio.get_running_loop()
    expiry = loop.create_task(store.expire())
    workers = [rig.Worker(f"i-worker{i}", store, record) for i in range(2 + ROUNDS)]
    await rig.put_config(store)
    for worker in workers:
        await worker.start()
    beats = loop.create_task(beat_all(workers))
    instances = []
    for i in range(3):
        name = f"edge-{i}"
        instances.append(rig.Instance(name, await store.open_port(name), directory, record))
    try:
        for one in instances:
            one.start(is_first=True)
        if not await rig.wait_until_ready(instances):
            return 2, "the instances are not ready"
        sent, end, late = {}, [time.monotonic() + 90], {}
        clients = loop.create_task(send_requests(instances, sent, lambda: end[0]))
        for i in range(ROUNDS):
            late = await play_round(store, workers, workers[i], instances, sent, record)
            if late:
                break
        end[0] = 0.0
        await clients
        by_status = {}
        for _, _, status in sent.values():
            by_status[status] = by_status.get(status, 0) + 1
        record.add(f"{len(sent)} requests sent, answers by status: {by_status}; runs by worker: "
                   + ", ".join(f"{worker.name} {len(worker.runs)}" for worker in workers))
        if late:
            return 1, "; ".join(f"{name} sent {len(sends)} requests later than drain_ms, up to {max(sends)[0]:.1f} s"
                                for name, sends in sorted(late.items()))
        return 0, "no request reached a worker later than drain_ms after its entry was removed"
    finally:
        for one in instances:
            one.end()
        beats.cancel()
        expiry.cancel()
        record.write()


def main():
    try:
        with tempfile.TemporaryDirectory() as directory:
            directory = os.environ.get("KEEP_LOGS") or directory
            code, text = asyncio.run(asyncio.wait_for(play(pathlib.Path(directory)), 100))
    except Exception as failure:  # pylint: disable=broad-except
        code, text = 2, f"the case could not run: {failure!r}"
    print(text)
    sys.exit(code)


main()
