"""A start order is delayed in the network for 8 s while its minion restarts under its id."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.dont_write_bytecode = True
HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "4"))
from platform2 import (  # noqa: E402
    Cell, Client, Minion, Operator, Record, config, free_port, job_id, message, read_message, ready,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MINIONS = 8
# `applied_late`: one start order in 18 (5.6 %), for 2 s, is carried out 8 s late.
LATE_EVERY, LATE_S = 18, 8.0
# `srv_crash` of one minion in eight: when, from the delayed order, and for how long.
CRASH_AFTER_S, DOWN_S = 1.9, 4.2
JOBS_PER_S, TRAFFIC_S = 10, 2.0


class Network:
    """What lies between the system and one minion. It delays some start orders; all else passes."""

    def __init__(self, minion, delays):
        self.minion, self.delays = minion, delays

    async def serve(self, reader, writer):
        back_writer = None
        try:
            back, back_writer = await asyncio.open_connection(self.minion.ip, self.minion.port)
            while True:
                request = message(*await read_message(reader))
                if b"/run-start" in request and self.delays.takes(self, request):
                    # Nothing comes back on this connection: its client gives up on it.
                    await reader.read()
                    break
                back_writer.write(request)
                writer.write(message(*await read_message(back)))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()
            if back_writer is not None:
                back_writer.close()

    async def deliver(self, request):
        record, minion = self.minion.record, self.minion
        try:
            back, back_writer = await asyncio.open_connection(minion.ip, minion.port)
            back_writer.write(request)
            line, _, text = await read_message(back)
            record(f"network: the delayed order reaches {minion.machine} in life {minion.lives}: "
                   f"{line} {text.decode()}")
            back_writer.close()
        except (OSError, asyncio.IncompleteReadError) as e:
            record(f"network: the delayed order doesn't reach {minion.machine}: {e!r}")


class Delays:
    """Which start orders are delayed."""

    def __init__(self, record):
        self.record, self.seen, self.on, self.taken = record, 0, False, []

    def takes(self, network, request):
        if not self.on:
            return False
        self.seen += 1
        if self.seen % LATE_EVERY != 1:
            return False
        self.taken.append((time.monotonic(), network))
        body = request.split(b"\r\n\r\n")[1].decode()
        self.record(f"network: an order to {network.minion.machine} is delayed by {LATE_S} s: {body}")
        asyncio.get_running_loop().call_later(
            LATE_S, lambda: asyncio.ensure_future(network.deliver(request)))
        return True


async def play(cell, record):
    port, minions, delays, servers = free_port(), [], Delays(record), []
    for i in range(MINIONS):
        minion = Minion(cell, f"{cell.net}.200", port + i, keeps_id=True)
        minion.reported = f"{cell.net}.201:{port + i}"
        network = Network(minion, delays)
        servers.append(await asyncio.start_server(network.serve, f"{cell.net}.201", port + i))
        minions.append(minion)
    cell.start()
    if await Operator(cell).put(config(7), time.monotonic() + 20) is None:
        return 2
    await asyncio.sleep(4)
    for minion in minions:
        await minion.start()
    if not await ready(cell, minions):
        record("result: no job runs before the disruption")
        return 2
    client, jobs = Client(cell), []
    delays.on = TROUBLE
    step = {"count": 1, "cpu": 2500, "mem_mb": 512, "est_ms": 300}
    for _ in range(int(JOBS_PER_S * TRAFFIC_S)):
        job = job_id()
        if await client.submit(job, [step], {"ms": 300}):
            jobs.append(job)
        await asyncio.sleep(1 / JOBS_PER_S)
    delays.on = False
    if TROUBLE:
        since, network = delays.taken[0]
        await asyncio.sleep(max(0.0, since + CRASH_AFTER_S - time.monotonic()))
        network.minion.end_life("crash")
        await asyncio.sleep(DOWN_S)
        await network.minion.start()
    await asyncio.sleep(10)
    states = {job: await client.state(job) for job in jobs}
    return check(record, minions, states)


def check(record, minions, states):
    """TWICE: a start after a run has ended `done`, and that end is taken note of."""
    broken = 0
    for minion in minions:
        for at, task, run, life in minion.starts:
            noted = [m.noted_at[task] for m in minions if task in m.noted_at]
            if noted and at > min(noted):
                broken += 1
                record(f"result: run {run} of {task} begins on {minion.machine} in life {life}, "
                       f"{at - min(noted):.1f} s after its end `done` was taken note of; its job "
                       f"is shown as {states.get(task.split('.')[0])}")
    shown = sorted(set(map(str, states.values())))
    record(f"result: {len(states)} jobs, shown as {shown}; {broken} starts of tasks that were done")
    return 1 if broken else 0


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
