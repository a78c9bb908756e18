"""The operator moves a queue to another service and retires the old one, with jobs under way."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-3"))
import cell as c  # noqa: E402

JOBS = 8
FINISH = 14.0  # finish_s
NEXT = "desk-2"


class Moving(c.Cell):
    moved = False
    timeout_ms = 3000

    def document(self, attempts=3):
        document = super().document(attempts)
        route, service = document["routes"][0], document["services"][0]
        route["timeout_ms"] = self.timeout_ms
        document["services"].append({**service, "name": NEXT})
        if self.moved:
            route["service"] = NEXT
            document["services"] = document["services"][1:]
        return document

    def running_of(self, job):
        return sum(1 for task, runs in self.running.items() if task.startswith(job) and runs)


async def case(record, trouble):
    cell = Moving(record)
    try:
        cell.start_daemons()
        await cell.start_minions(4)
        await cell.start_minions(4, service=NEXT)
        if await cell.put_config() is None:
            raise c.CannotRun("no configuration was accepted")
        await cell.wait_ready()
        await asyncio.sleep(3)
        jobs = []
        for _ in range(JOBS):
            job, body = c.new_id(), c.task_job(8_000, 1_500, 2)
            body["steps"].append({**body["steps"][0], "depends_on": [0]})
            if await cell.submit(job, body):
                jobs.append(job)
        lasting, body = c.new_id(), c.task_job(1_000, 1_000_000_000, 2, runs_forever=True)
        body["steps"][0]["est_ms"] = 1_000
        if not await cell.submit(lasting, body):
            raise c.CannotRun("the job that lasts was not accepted")
        # Both services have room; one version moves the queue, or only changes a time-out.
        cell.moved, cell.timeout_ms = trouble, 2_900
        if await cell.put_config() is None:
            raise c.CannotRun("the change was not accepted")
        await asyncio.sleep(4)
        # Tasks that last "may fail at any time".
        for minion in cell.minions:
            for task in [t for t in minion.runs if t.startswith(lasting)]:
                minion.end(task, "failed")
        await asyncio.sleep(FINISH)
        for job in jobs + [lasting]:
            idle_since = time.monotonic()
            while cell.running_of(job) == 0 and time.monotonic() < idle_since + 3:
                await asyncio.sleep(0.05)
            got = await cell.ask("GET", job)
            state = got[1]["state"] if got and got[0] == 200 else None
            if state != "done" and cell.running_of(job) == 0:
                cell.broken(f"LOST: {job} is {state}; nothing of it runs, beside free capacity")
        return cell.faults
    finally:
        cell.stop()


c.main(HERE, case)
