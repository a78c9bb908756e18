"""A new leader takes a minion that started again, smaller, for as large as it was."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.dont_write_bytecode = True
HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "4"))
from platform2 import (  # noqa: E402
    Cell, Client, Minion, Operator, Record, config, free_port, job_id, ready,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MINIONS = 12
# `srv_cut` with `reborn`: one minion of twelve is cut off from the core, not from the entry machines,
# crashes behind the cut and starts again, as one of half the size.
CUT_S, DOWN_S, SMALLER_CPU = 5.0, 0.5, 16000
# `node_kill` of the leader, from the beginning of the cut; it starts again later.
KILL_AT_S, KILLED_S = 2.0, 1.5
TASK_CPU, TASK_MS = 4000, 6000
ZONE = "aarau"


def watch(minion, record, over):
    """Notes each start that brings a minion over its capacity. What is being stopped counts."""
    def begun(minion, task, run):
        used = len(minion.running) * TASK_CPU
        if used > minion.capacity["cpu"]:
            over.append((minion, task))
            record(f"result: run {run} of {task} brings {minion.machine} in life {minion.lives} to "
                   f"{used} of {minion.capacity['cpu']} millicores")
    minion.on_begun = begun


async def traffic(client, jobs, until):
    """More than there is room for, so that free room is used at once."""
    step = {"count": 8, "cpu": TASK_CPU, "mem_mb": 256, "est_ms": TASK_MS}
    while time.monotonic() < until:
        job = job_id()
        if await client.submit(job, [step], {"ms": TASK_MS}):
            jobs.append(job)
        await asyncio.sleep(0.4)


async def play(cell, record):
    # Minions are called from their own zone. There is an entry machine in that of the one that is cut
    # off and no core machine, so that its calls come from machines that it isn't cut off from.
    for i, daemon in enumerate(cell.cores):
        daemon.zone = cell.zones[i % 3]
    cell.edges[0].zone, cell.edges[1].zone = cell.zones[0], ZONE
    port, over = free_port(), []
    minions = [Minion(cell, f"{cell.net}.200", port + i, keeps_id=True) for i in range(MINIONS)]
    for minion in minions:
        watch(minion, record, over)
    cut = minions[0]
    cut.zone = ZONE
    cell.start()
    if await Operator(cell).put(config(7), time.monotonic() + 20) is None:
        return 2
    await asyncio.sleep(6)
    for minion in minions:
        await minion.start()
    if not await ready(cell, minions):
        record("result: no job runs before the disruption")
        return 2
    client, jobs = Client(cell), []
    sending = asyncio.ensure_future(traffic(client, jobs, time.monotonic() + 16))
    await asyncio.sleep(7)
    since = time.monotonic()
    if TROUBLE:
        cut.cut = True
        cut.end_life("crash behind the cut")
        await asyncio.sleep(DOWN_S)
        cut.capacity = {**cut.capacity, "cpu": SMALLER_CPU}
        await cut.start()
        await asyncio.sleep(max(0.0, since + KILL_AT_S - time.monotonic()))
        leader = cell.cores[0]
        leader.kill()
        await asyncio.sleep(KILLED_S)
        leader.start(bootstrap=False)
        await asyncio.sleep(max(0.0, since + CUT_S - time.monotonic()))
        cut.cut = False
        record(f"{cut.machine}: the cut has healed")
        await cut.beat_now()
    await sending
    await asyncio.sleep(8)
    record(f"result: {len(jobs)} jobs, {sum(len(m.starts) for m in minions)} starts, {len(over)} of "
           f"them over the capacity of their minion")
    return 1 if over else 0


def main():
    record = Record(HERE / "record.txt")
    cell = Cell(record)
    try:
        return asyncio.run(play(cell, record))
    except Exception as e:  # The case could not run.
        record(f"result: the case could not run: {e!r}")
        return 2
    finally:
        cell.end()


sys.exit(main())
