"""Two replicas are killed while they install the leader's snapshot; later the whole core restarts."""

import asyncio
import json
import os
import signal
import sys
import time

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
from cell import FRONT, READY, CannotRun, Cell, Record, call  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Bounds of the tower lease deployment.
BOUNDS = {
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "config_ms": 2000,
    "grace_s": 6.0,
    "recover_s": 12,
    "hold_max_ms": 10000,
    "stop_ms": 900,
    "restore_ms": 100,
    "visible_ms": 3000,
    "status_s": 120,
}
HOST, PREFIX = "nony24.example", "/lohu930/"
JOBS = 2400
WIPES = 8


def config(version):
    return {
        "version": version,
        "routes": [
            {
                "name": "r-3hwrr6x", "host": HOST, "path_prefix": PREFIX, "kind": "unsafe",
                "timeout_ms": 3000, "slo_ms": 250, "priority": 0, "service": "huvo11a",
                "attempts": 3, "stretch": 1.5,
            }
        ],
        "services": [
            {"name": "huvo11a", "health_path": "/health", "max_conns": 64, "protocol": "h1",
             "tls": False, "admission_check": False, "standby": False}
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
    }


async def put_config(cell, record, version):
    status, _ = await cell.control_call("PUT", "/yuccahold/config", config(version))
    record.line(f"operator PUT configuration {version}: {status}")
    return status == 200


async def ask(cell, method, path, body=None, tries=5):
    """A client's request: its tries go to one entry daemon after the other."""
    headers = {"Host": HOST, "Yuccahold-Deadline-Ms": "3000"}
    for i in range(tries):
        d = cell.entries[i % len(cell.entries)]
        try:
            status, answer = await call(d.ip, FRONT, method, path, body, 3.0, headers)
            if status < 500 and status != 429:
                return status, answer
        except (OSError, asyncio.TimeoutError, EOFError):
            pass
        await asyncio.sleep(0.3)
    return None, None


async def submit(cell, job, due_ms):
    """A job that is due in an hour, so that no minions are needed."""
    body = {
        "spec": "x" * 4000,
        "steps": [{"count": 1, "cpu": 500, "mem_mb": 256, "est_ms": 900}],
        "times": 1, "start_time_ms": due_ms, "interval_ms": 60000,
    }
    status, _ = await ask(cell, "POST", PREFIX + job, body)
    return status


async def submit_many(cell, record, first, count):
    due = int(time.time() * 1000) + 3_600_000
    accepted, waiting = [], list(range(first, first + count))

    async def client():
        while waiting:
            job = f"{waiting.pop():016x}"
            if await submit(cell, job, due) == 200:
                accepted.append(job)

    await asyncio.gather(*(client() for _ in range(24)))
    record.line(f"clients handed in {count} jobs that are due in an hour: {len(accepted)} accepted")
    return accepted


def files(daemon):
    try:
        return os.listdir(daemon.data)
    except FileNotFoundError:
        return []


def has_snapshot(names):
    return any(n.startswith("snapshot-") and n.endswith(".snap") for n in names)


def segments(names):
    return sorted(int(n[4:-4]) for n in names if n.startswith("log-") and n.endswith(".seg"))


def kill_while_installing(daemon, limit=8.0):
    """Kills the process as soon as its folder holds the leader's snapshot."""
    end = time.monotonic() + limit
    pid = daemon.child.pid
    while time.monotonic() < end:
        if has_snapshot(os.listdir(daemon.data)):
            os.kill(pid, signal.SIGKILL)
            daemon.kill("while it takes over the leader's state")
            return True
    return False


async def settled(cell, daemon, record, limit=20.0):
    """Waits until the replica has the leader's state and its log is in use."""
    end = time.monotonic() + limit
    while time.monotonic() < end:
        if has_snapshot(files(daemon)):
            return
        await asyncio.sleep(0.1)
    raise CannotRun(f"{daemon.name} got no snapshot")


async def lose_disk(cell, record, daemon):
    """The machine loses its disk and comes back; with trouble, it is killed while it catches up."""
    for attempt in range(1, WIPES + 1):
        daemon.kill("it loses its disk")
        daemon.wipe()
        await asyncio.sleep(0.3)
        daemon.start()
        if not TROUBLE:
            await settled(cell, daemon, record)
            break
        if not kill_while_installing(daemon):
            raise CannotRun(f"{daemon.name} got no snapshot")
        names = files(daemon)
        hit = segments(names) == [1]
        record.line(f"{daemon.name}, kill {attempt}: log segments {segments(names)}")
        await asyncio.sleep(0.3)
        if hit:
            daemon.start()
            break
        daemon.start()
        await asyncio.sleep(BOUNDS["catch_up_s"] + 0.5)
    else:
        raise CannotRun("no kill fell between the two files")
    await asyncio.sleep(BOUNDS["catch_up_s"] + 0.5)


async def find_leader(cell):
    """The control daemon that logged last that it leads."""
    best, at = None, -1.0
    for d in cell.controls:
        with open(os.path.join(d.folder, "log"), encoding="utf-8", errors="replace") as f:
            for line in f:
                if '"message":"group"' in line and '"role":"Leader"' in line:
                    when = json.loads(line[line.index("{"):])["at"]
                    if when > at:
                        best, at = d, when
    return best


async def play(cell, record):
    cell.start()
    await cell.first_config(config(3))
    for d in cell.entries:
        for _ in range(100):
            try:
                if (await call(d.ip, READY, "GET", "/yuccahold/ready"))[0] == 200:
                    break
            except (OSError, EOFError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
    accepted = await submit_many(cell, record, 0x1000000000000000, JOBS)
    leader = await find_leader(cell)
    if leader is None or not has_snapshot(files(leader)):
        raise CannotRun("the leader has taken no snapshot")
    followers = [d for d in cell.controls if d is not leader]
    victims = followers[:2]
    record.line(f"the leader is {leader.name}")
    for i, victim in enumerate(victims):
        await lose_disk(cell, record, victim)
        accepted += await submit_many(cell, record, 0x2000000000000000 + i * 100, 20)
    for d in cell.controls:
        d.kill("all processes of the core at the same moment")
    await asyncio.sleep(0.7)
    for d in cell.controls:
        d.start()
    herd = time.monotonic()
    await asyncio.sleep(BOUNDS["recover_s"])
    if not await put_config(cell, record, 9):
        raise CannotRun("the last configuration is not acknowledged")
    last = followers[2]
    last.kill("it loses its disk")
    last.wipe()
    await asyncio.sleep(0.5)
    last.start()
    await asyncio.sleep(BOUNDS["recover_s"])
    return judge(cell, record, accepted, victims, herd, await read_back(cell, record, accepted))


async def read_back(cell, record, accepted):
    """What the operator and the clients see after the system had `recover_s`."""
    status, answer = await cell.control_call("GET", "/yuccahold/config", tries=10)
    version = answer["version"] if status == 200 else None
    record.line(f"operator GET configuration: {status}, version {version}")
    sample = accepted[:3] + accepted[-3:]

    async def state(job):
        status, answer = await ask(cell, "GET", PREFIX + job, tries=4)
        record.line(f"client GET job {job}: {status} {answer}")
        return status == 200

    served = await asyncio.gather(*(state(job) for job in sample))
    return version, sum(served), len(served)


def judge(cell, record, accepted, victims, herd, seen):
    version, served, asked = seen
    broken = []
    crashing = []
    for d in cell.all():
        # Not within a second of the platform's kills.
        ends = [t for t in d.own_ends if t > herd + 1.0]
        record.line(f"{d.name}: {len(ends)} ends by itself after the restart of the core")
        if len(ends) >= 3:
            crashing.append(d.name)
    if len(crashing) >= max(2, len(cell.all()) // 10):
        broken.append(f"Fault: {crashing} end by themselves again and again")
    if version is None:
        broken.append("CONFIG/LOST: the acknowledged configuration 9 does not come")
    elif version < 9:
        broken.append(f"CONFIG/LOST: configuration {version} is older than the acknowledged 9")
    if served * 4 < asked:
        broken.append(f"RECOVER: {served} of {asked} requests are served after recover_s")
    for line in broken:
        record.line(f"BROKEN {line}")
    if not broken:
        record.line("the rules held")
    return 1 if broken else 0


async def main():
    record = Record(HERE)
    record.line(f"trouble {'on' if TROUBLE else 'off'}")
    try:
        cell = Cell(record, 5, 2, BOUNDS)
    except CannotRun as e:
        record.line(f"CANNOT RUN {e}")
        return 2
    try:
        return await asyncio.wait_for(play(cell, record), 112)
    except Exception as e:  # a fault of the script says nothing about the rule
        record.line(f"CANNOT RUN {e!r}")
        return 2
    finally:
        cell.stop()


sys.exit(asyncio.run(main()))
