"""The operator adds a queue whose path prefix does not end with a slash; clients hand jobs in to it."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-3"))
import cell as c  # noqa: E402

JOBS = 9
FINISH = 14.0  # finish_s


class Queues(c.Cell):
    added = None

    def document(self, attempts=3):
        document = super().document(attempts)
        if self.added:
            first = document["routes"][0]
            document["routes"].append({**first, "name": "r-added", "path_prefix": self.added})
        return document


async def case(record, trouble):
    cell = Queues(record)

    async def ask(method, path, body=None):
        daemon = cell.entries[len(cell.asked) % len(cell.entries)]
        cell.asked.append(path)
        headers = {"Host": c.HOST, "Yuccahold-Deadline-Ms": "3000"}
        got = await c.request((daemon.ip, c.FRONT_PORT), method, path, body, headers, 3.0)
        record.line(f"{method} {path} at {daemon.name}: {got}")
        return got

    try:
        cell.asked = []
        cell.start_daemons()
        await cell.start_minions(4)
        if await cell.put_config() is None:
            raise c.CannotRun("no configuration was accepted")
        await cell.wait_ready()
        await asyncio.sleep(2)
        cell.added = "/pufi791-" if trouble else "/pufi791/"
        if await cell.put_config() is None:
            raise c.CannotRun("the change was not accepted")
        await asyncio.sleep(2 + 3 + 1)  # config_ms, contact_ms and a second
        accepted = []
        for _ in range(JOBS):
            job = c.new_id()
            got = await ask("POST", cell.added + job, c.task_job(1_000, 500))
            if got and 200 <= got[0] < 300:
                accepted.append(job)
        if not accepted:
            raise c.CannotRun("no job was accepted")
        await asyncio.sleep(FINISH)
        began = {task[:16] for task in cell.running}
        for job in accepted:
            got = await ask("GET", cell.added + job)
            state = got[1].get("state") if got and got[0] == 200 else None
            if job not in began or state != "done":
                cell.broken(f"LOST: {job} was accepted; it has {'' if job in began else 'not '}"
                            f"begun, and is answered as {got}")
        return cell.faults
    finally:
        cell.stop()


c.main(HERE, case)
