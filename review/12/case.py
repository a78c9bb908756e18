"""Tasks that fill run on every minion; then a job comes whose tasks last and have a target."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-3"))
import cell as c  # noqa: E402

MINIONS = 6
WATCHED = 30.0


async def case(record, trouble):
    cell = c.Cell(record)
    try:
        cell.start_daemons()
        await cell.start_minions(MINIONS)
        if await cell.put_config() is None:
            raise c.CannotRun("no configuration was accepted")
        await cell.wait_ready()
        await asyncio.sleep(2)
        if trouble:
            filling = c.task_job(20_000, 1_000_000_000, MINIONS, runs_forever=True, fills=True)
            filling["steps"][0]["est_ms"] = 1_000
            if not await cell.submit(c.new_id(), filling):
                raise c.CannotRun("the job that fills was not accepted")
        await asyncio.sleep(3)
        job = c.new_id()
        serving = c.task_job(4_000, 1_000_000_000, 2, runs_forever=True, target_ms=200)
        serving["steps"][0]["est_ms"] = 1_000
        if not await cell.submit(job, serving):
            raise c.CannotRun("the job that serves was not accepted")
        idle_since, longest = time.monotonic(), 0.0
        end = time.monotonic() + WATCHED
        while time.monotonic() < end:
            await asyncio.sleep(0.1)
            if any(task.startswith(job) and runs for task, runs in cell.running.items()):
                idle_since = time.monotonic()
            longest = max(longest, time.monotonic() - idle_since)
        await cell.ask("GET", job)
        record.line(f"{job} had nothing running for {longest:.1f} s on end; its tasks want 8,000 of "
                    f"{MINIONS * 32_000} thousandths of a core, none of which is in use")
        # From 6 s on, and 4 s and 3 s without any disruption.
        if longest > 6 + 4 + 3:
            cell.broken(f"LOST: {job} had nothing running for {longest:.1f} s beside free capacity")
        return cell.faults
    finally:
        cell.stop()


c.main(HERE, case)
