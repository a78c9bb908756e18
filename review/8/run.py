"""A frozen entry daemon hands a job in after the client has left and cancelled it."""

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path

sys.dont_write_bytecode = True
HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "4"))
from platform2 import (  # noqa: E402
    BOUNDS, FRONT, HOST, PREFIX, Cell, Client, Minion, Operator, Record, call, config, free_port,
    job_id, ready,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MINIONS = 6
# `node_freeze` of one machine of ten.
EDGES, FROZEN_S = 10, 3.45
# `give_up`: the client leaves before its deadline.
LEAVES_AFTER_S = 0.2
JOBS = 3


async def leave(cell, record, job, front, other):
    """Hands a job in, leaves without an answer and cancels; the time of the acknowledgement."""
    headers = [("Host", HOST), ("Yuccahold-Deadline-Ms", "3000")]
    step = {"count": 2, "cpu": 2500, "mem_mb": 512, "est_ms": 500}
    body = {"spec": json.dumps({"ms": 500}), "steps": [step]}
    status, _ = await call(front, "POST", PREFIX + job, body, headers, LEAVES_AFTER_S)
    record(f"client: POST {job} to {front}: {status or 'no answer, the client leaves'}")
    status, _ = await call(other, "DELETE", PREFIX + job, None, headers, 3.0)
    record(f"client: DELETE {job} at {other}: {status}")
    return time.monotonic() if status is not None and (status == 410 or status < 300) else None


async def play(cell, record):
    port = free_port()
    minions = [Minion(cell, f"{cell.net}.200", port + i) for i in range(MINIONS)]
    cell.start()
    if await Operator(cell).put(config(7), time.monotonic() + 20) is None:
        return 2
    await asyncio.sleep(4)
    for minion in minions:
        await minion.start()
    if not await ready(cell, minions):
        record("result: no job runs before the disruption")
        return 2
    frozen, other = cell.edges[-1], cell.edges[0]
    thawed = time.monotonic() + FROZEN_S
    if TROUBLE:
        frozen.send(signal.SIGSTOP)
    jobs = [job_id() for _ in range(JOBS)]
    cancels = await asyncio.gather(*[
        leave(cell, record, job, f"{frozen.ip}:{FRONT}", f"{other.ip}:{FRONT}") for job in jobs])
    await asyncio.sleep(max(0.0, thawed - time.monotonic()))
    if TROUBLE:
        frozen.send(signal.SIGCONT)
    await asyncio.sleep(5)
    client = Client(cell)
    states = {job: await client.state(job) for job in jobs}
    return check(record, minions, dict(zip(jobs, cancels)), states)


def check(record, minions, cancels, states):
    """UNASKED: a task starts later than cancel_ms after its job's cancelling was acknowledged."""
    if None in cancels.values():
        record("result: a DELETE was not acknowledged")
        return 2
    broken = 0
    for minion in minions:
        for at, task, _, _ in minion.starts:
            cancelled = cancels.get(task.split(".")[0])
            if cancelled is not None and at > cancelled + BOUNDS["cancel_ms"] / 1000:
                broken += 1
                record(f"result: {task} begins on {minion.machine} {at - cancelled:.1f} s after the "
                       f"cancelling of its job was acknowledged")
    record(f"result: {broken} tasks began too late after the cancelling; the jobs are shown as "
           f"{sorted(map(str, states.values()))}")
    return 1 if broken else 0


def main():
    record = Record(HERE / "record.txt")
    cell = Cell(record, edges=EDGES)
    try:
        return asyncio.run(play(cell, record))
    except Exception as e:  # The case could not run.
        record(f"result: the case could not run: {e!r}")
        return 2
    finally:
        cell.end()


sys.exit(main())
