"""The store turns the owner of the placement away while the two other machines are replaced, one after the other.

The model workers don't check fencing tokens. No worker may get orders of two machines that take turns within lease_ms,
or an order with a lower token after one with a higher one.
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
LEASE_S = 3.0
STEADY_S, PERIOD_S = 6.0, 0.05
# From the SIGTERM of the first machine that leaves to that of the second one, and to the time at which the store begins
# to turn the owner away, and for how long.
GAP_S, REJECTED_AT_S, REJECTED_FOR_S = 1.0, 1.5, 9.0
# From the end of a machine to the start of the one that replaces it.
REPLACED_AFTER_S = 1.0
END_S = 16.0


async def send_requests(instances, counts, until):
    """Sends requests for adapters, more than fit, so that the owner has to give orders all the time."""
    number, tasks = 0, []

    async def one(instance, attempt, model):
        status = await rig.stream_request(instance, attempt, model)
        counts[status] = counts.get(status, 0) + 1

    while time.monotonic() < until:
        number += 1
        model = f"m0/a{random.randint(1, 40)}"
        serving = [one for one in instances if one.child and not one.is_removed]
        tasks.append(asyncio.create_task(one(random.choice(serving), f"{number:016x}", model)))
        await asyncio.sleep(PERIOD_S)
    await asyncio.gather(*tasks)


def check(engines, record):
    """Finds holders that take turns at one worker within the lease time, and lower tokens after higher ones."""
    broken = []
    for engine in engines:
        orders, turns, lower = engine.orders, 0, 0
        highest = 0
        for at, holder, token in orders:
            lower += token < highest
            highest = max(highest, token)
        changes = [(orders[i][0], orders[i][1], orders[i + 1][0], orders[i + 1][1]) for i in range(len(orders) - 1)
                   if orders[i][1] != orders[i + 1][1]]
        for (begin, holder, _, _), (_, _, end, next_holder) in zip(changes, changes[1:]):
            turns += holder == next_holder and end - begin < LEASE_S
        for at, holder, next_at, next_holder in changes:
            record.add(f"{engine.name}: {holder} until {at - record.start:.3f}, then {next_holder} "
                       f"{next_at - at:.3f} s later")
        if turns or lower:
            broken.append(f"{engine.name}: holders took turns within lease_ms {turns} times, "
                          f"{lower} orders had a lower token than one before")
    return broken


async def replace(leaver, successor):
    """Stops a machine for good; another one comes at another address."""
    leaver.is_removed = True
    leaver.send(signal.SIGTERM)
    while leaver.child.poll() is None:
        await asyncio.sleep(0.02)
    await asyncio.sleep(REPLACED_AFTER_S)
    successor.start()


async def play(directory):
    record = rig.Record()
    store = rig.Store(record)
    loop = asyncio.get_running_loop()
    tasks = [loop.create_task(store.expire())]
    engines = [rig.Engine(f"i-worker{i}", store, record) for i in range(2)]
    await rig.put_config(store)
    for engine in engines:
        await engine.start()
        tasks.append(loop.create_task(engine.register()))
    instances = []
    for i in range(5):
        name = f"edge-{i}"
        instances.append(rig.Instance(name, await store.open_port(name), directory, record))
    try:
        for one in instances[:3]:
            one.start(is_first=True)
        if not await rig.wait_until_ready(instances[:3]):
            return 2, "the instances are not ready"
        counts, begin = {}, time.monotonic()
        clients = loop.create_task(send_requests(instances, counts, begin + STEADY_S + END_S))
        await asyncio.sleep(STEADY_S)
        last = max((engine.orders[-1] for engine in engines if engine.orders), default=None)
        if last is None:
            return 2, "no orders were given"
        owner = next(one for one in instances if one.name == last[1])
        leavers = [one for one in instances[:3] if one is not owner]
        replacements = []
        for leaver, successor in zip(leavers, instances[3:]):
            replacements.append(loop.create_task(replace(leaver, successor)))
            await asyncio.sleep(GAP_S if leaver is leavers[0] else REJECTED_AT_S - GAP_S)
        if TROUBLE:
            store.rejected.add(owner.name)
            record.add(f"store: turns {owner.name} away with 503")
        await asyncio.sleep(REJECTED_FOR_S)
        store.rejected.clear()
        record.add("store: serves all")
        await asyncio.gather(clients, *replacements)
        record.add(f"answers by status: {counts}")
        broken = check(engines, record)
        return (1, "; ".join(broken)) if broken else (0, "no holders took turns, and no token fell")
    finally:
        for one in instances:
            one.end()
        for task in tasks:
            task.cancel()
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
