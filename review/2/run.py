"""A former owner that was cut off from the store goes on sending to a worker that has left."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER))

import engines as workers  # noqa: E402
import rig as rigs  # noqa: E402

# The first cut, the pause until the second one, its length, and when in it the worker's entry is removed.
FIRST_CUT_S, PAUSE_S, CUT_S, REMOVED_AFTER_S = 5.0, 5.0, 0.06, 0.03
# How long the worker serves beyond its time, and from when on a request counts here: what case 1 shows is over then.
LINGER_S, COUNTED_S = 12.0, 4.0


async def play(rig):
    engines, ways = await workers.begin(rig)
    chats = workers.Chats(rig)
    await asyncio.sleep(8)
    leaving, former = engines[0], workers.holder_of_lease(rig.store)
    rig.record.add(f"instance {former} holds the lease")
    if rig.has_trouble:
        await workers.cut(rig, ways, former, FIRST_CUT_S)
    # More than the stable window of 3 s.
    await asyncio.sleep(PAUSE_S)
    owner = workers.holder_of_lease(rig.store)
    rig.record.add(f"instance {owner} holds the lease")
    if rig.has_trouble and owner == former:
        raise RuntimeError("nobody else has taken the lease")
    if rig.has_trouble:
        leaving.is_late = lambda instance, passed: passed > COUNTED_S and instance != owner
        cutting = asyncio.get_running_loop().create_task(workers.cut(rig, ways, owner, CUT_S))
        await asyncio.sleep(REMOVED_AFTER_S)
    await workers.leave(rig, leaving, LINGER_S)
    if rig.has_trouble:
        await cutting
    await asyncio.sleep(4)
    await chats.end()


rigs.run(FOLDER, play)
