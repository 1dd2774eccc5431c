"""A model worker leaves without a word while the owner's way to the store is cut for a moment."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER))

import engines as workers  # noqa: E402
import rig as rigs  # noqa: E402

# Length of the cut, when in it the worker's entry is removed, and how long the worker serves beyond its time.
CUT_S, REMOVED_AFTER_S, LINGER_S = 0.3, 0.1, 1.0


async def play(rig):
    engines, ways = await workers.begin(rig)
    chats = workers.Chats(rig)
    await asyncio.sleep(8)
    leaving, owner = engines[0], workers.holder_of_lease(rig.store)
    rig.record.add(f"instance {owner} holds the lease")
    if rig.has_trouble:
        # Judged are the other instances, which nothing disturbs.
        leaving.is_late = lambda instance, passed: passed > workers.DRAIN_S and instance != owner
        cutting = asyncio.get_running_loop().create_task(workers.cut(rig, ways, owner, CUT_S))
        await asyncio.sleep(REMOVED_AFTER_S)
    await workers.leave(rig, leaving, LINGER_S)
    if rig.has_trouble:
        await cutting
    await asyncio.sleep(4)
    await chats.end()


rigs.run(FOLDER, play)
