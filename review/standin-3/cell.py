"""A small deployment on loopback addresses: the two daemons as separate processes, and stand-ins for
clients, minions and the operator that speak the platform's protocol. Python's standard library only.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import subprocess
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
CONTROL = os.path.join(ROOT, "target", "release", "yuccahold-control")
ENTRY = os.path.join(ROOT, "target", "release", "yuccahold-entry")
CONTROL_PORT, FRONT_PORT, READY_PORT = 8166, 8161, 8167
HOST, PREFIX, SERVICE = "desk.example", "/work/", "desk"


class CannotRun(Exception):
    """The case could not be set up; the script ends with 2."""


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


# HTTP/1.1


async def read_message(reader):
    """The first line, the headers and the body of a message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for text in lines[1:]:
        name, _, value = text.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


async def request(addr, method, path, body=None, headers=None, timeout=1.0):
    """Status and body of the answer; None without one."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*addr)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            fields = {"Host": f"{addr[0]}:{addr[1]}", "Content-Length": str(len(data))}
            if body is not None:
                fields["Content-Type"] = "application/json"
            fields.update(headers or {})
            head = f"{method} {path} HTTP/1.1\r\n"
            head += "".join(f"{k}: {v}\r\n" for k, v in fields.items())
            writer.write(head.encode() + b"\r\n" + data)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return None
            status = int(message[0].split(" ")[1])
            try:
                return status, json.loads(message[2] or b"null")
            except ValueError:
                return status, None
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, ValueError, IndexError):
        return None


class Server:
    """Serves `handle(method, path, headers, body)`, which returns a status and a body."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()
        self.addr = None

    async def open(self, addr):
        self.server = await asyncio.start_server(self.serve, addr[0], addr[1], reuse_address=True)
        self.addr = self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                first, headers, body = message
                method, path, _ = first.split(" ", 2)
                status, answer = await self.handle(method, path, headers, body)
                data = json.dumps(answer).encode()
                head = f"HTTP/1.1 {status} S\r\nContent-Type: application/json\r\n"
                head += f"Content-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def abort(self):
        """Ends as a process that is killed: connections are reset, new ones refused."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()


# Minions


class Run:
    def __init__(self, run, cpu, ends_at, how):
        self.run, self.cpu, self.ends_at, self.how = run, cpu, ends_at, how


class Minion:
    """A minion that takes orders by call. One life after another at the same address."""

    def __init__(self, cell, number, cpu=32000, same_id=False, service=SERVICE):
        self.cell, self.number, self.cpu = cell, number, cpu
        self.same_id, self.service = same_id, service
        self.life, self.kind = 0, "a"
        self.ip = cell.ip(100 + number)
        self.addr = (self.ip, 0)
        self.up = False
        self.server = None
        self.tasks = []

    def begin_life(self):
        self.id = f"i-{self.number}" if self.same_id else f"i-{self.number}-{self.life}"
        self.life += 1
        self.born = int(time.time() * 1000)
        self.clock_base = time.monotonic() - 0.05
        self.token, self.lease = 0, 0
        self.runs, self.ended, self.last_end = {}, [], 0
        self.highest_ended, self.seq = {}, 0
        self.changed = asyncio.Event()

    def clock(self):
        return int((time.monotonic() - self.clock_base) * 1000)

    async def start(self):
        self.begin_life()
        self.server = Server(self.handle)
        try:
            await self.server.open(self.addr)
        except OSError as e:
            raise CannotRun(f"minion {self.number}: {e}") from e
        self.addr = self.server.addr
        self.up = True
        self.cell.record.line(f"minion {self.id} up")
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.tick())]

    def crash(self):
        """Everything on it ends, and it says nothing."""
        self.up = False
        for task in self.tasks:
            task.cancel()
        self.server.abort()
        self.cell.record.line(f"minion {self.id} crashes with {sorted(self.runs)}")
        for task, run in self.runs.items():
            self.cell.run_over(self, task, run.run, "crash")
        self.runs = {}

    async def beat(self):
        """Reports of itself, each to the next control daemon until one answers."""
        at = self.number
        while True:
            self.seq += 1
            report = {
                "service": self.service, "addr": f"{self.addr[0]}:{self.addr[1]}", "zone": self.cell.zone,
                "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": 131072, "gpu": 0},
                "labels": [self.kind, f"r1-{self.number // 8}"], "clock_ms": self.clock(), "seq": self.seq,
            }
            if self.same_id:
                report["born"] = self.born
            for _ in range(len(self.cell.controls)):
                addr = (self.cell.controls[at % len(self.cell.controls)].ip, CONTROL_PORT)
                got = await request(addr, "PUT", f"/yuccahold/instances/{self.id}", report)
                if got and got[0] == 200:
                    break
                at += 1
            await asyncio.sleep(self.cell.heartbeat)

    async def tick(self):
        while True:
            await asyncio.sleep(0.01)
            now = self.clock()
            for task, run in list(self.runs.items()):
                if now > self.lease:
                    self.end(task, "lapsed")
                elif now >= run.ends_at:
                    self.end(task, run.how)

    def end(self, task, how):
        run = self.runs.pop(task)
        self.last_end += 1
        self.highest_ended[task] = max(run.run, self.highest_ended.get(task, 0))
        self.ended.append([self.last_end, task, run.run, how, ""])
        self.cell.run_over(self, task, run.run, how)
        self.changed.set()
        self.changed = asyncio.Event()

    def extend(self, deadline):
        self.lease = max(self.lease, min(deadline, self.clock() + self.cell.hold_max_ms))

    async def handle(self, method, path, headers, body):
        if path == "/health":
            return 200, {}
        if path not in ("/yuccahold/run-start", "/yuccahold/run-stop", "/yuccahold/hold"):
            return 404, {}
        body = json.loads(body)
        expected = headers.get("yuccahold-expect-instance")
        late = self.cell.late_by(self, path, body)
        if late is not None:
            # Unanswered, and carried out later by the life that is there then.
            self.cell.record.line(f"minion {self.id} gets {path} {body.get('task')} run "
                                  f"{body.get('run')} and leaves it unanswered for {late} s")
            asyncio.get_running_loop().call_later(late, self.carry_out_late, path, expected, body)
            await asyncio.sleep(3600)
        if path == "/yuccahold/hold":
            return await self.hold(expected, body)
        return self.order(path, expected, body)

    def carry_out_late(self, path, expected, body):
        if self.up:
            answer = self.order(path, expected, body)
            self.cell.record.line(f"minion {self.id} carries out {path} {body['task']} run "
                                  f"{body['run']} late: {answer}")

    def check(self, expected, token):
        if expected is not None and expected != self.id:
            return 421, {"clock_ms": self.clock()}
        if token < self.token:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.token = token
        return None

    def order(self, path, expected, body):
        refused = self.check(expected, body.get("fencing_token", 0))
        if refused:
            return refused
        now, task, number = self.clock(), body["task"], body["run"]
        done = 200, {"clock_ms": now}
        if path.endswith("run-stop"):
            self.highest_ended[task] = max(number, self.highest_ended.get(task, 0))
            run = self.runs.get(task)
            if run and run.run <= number:
                run.ends_at, run.how = min(run.ends_at, now + 100), "stopped"
            return done
        if now > body["deadline_ms"]:
            return 409, {"clock_ms": now, "reason": "late"}
        self.extend(body["deadline_ms"])
        if self.highest_ended.get(task, 0) >= number:
            return 409, {"clock_ms": now, "reason": "old"}
        if task in self.runs:
            old = self.runs[task].run
            return done if old >= number else (409, {"clock_ms": now, "reason": "old"})
        spec = json.loads(body["spec"])
        how = "failed" if self.cell.fails(task, number) else "done"
        self.runs[task] = Run(number, spec["cpu"], now + spec["ms"], how)
        self.cell.run_begun(self, task, number)
        return done

    async def hold(self, expected, body):
        refused = self.check(expected, body.get("fencing_token", 0))
        if refused:
            return refused
        for end in self.ended:
            if end[0] <= body["acked_upto"]:
                self.cell.end_noted(self, end)
        self.ended = [end for end in self.ended if end[0] > body["acked_upto"]]
        if body.get("deadline_ms") is not None:
            self.extend(body["deadline_ms"])
        until = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        while not self.ended:
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                break
        refused = self.check(expected, body.get("fencing_token", 0))
        if refused:
            return refused
        now = self.clock()
        share = lambda r: 50
        running = [[t, r.run, "", share(r), r.cpu] for t, r in self.runs.items()]
        answer = {"clock_ms": now, "running": running, "ended": self.ended[:500]}
        if self.same_id:
            answer["born"] = self.born
        return 200, answer


# Daemons


class Daemon:
    def __init__(self, cell, role, ip, name):
        self.cell, self.role, self.ip, self.name = cell, role, ip, name
        self.folder = os.path.join(cell.folder, name)
        self.data = os.path.join(self.folder, "data")
        os.makedirs(self.data)
        self.process = None

    def write_settings(self, bootstrap):
        c = self.cell
        core = self.role == "control"
        seeds = ",".join(f"{d.ip}:{CONTROL_PORT}" for d in c.controls[:3])
        lines = [
            f"node={self.name}", f"role={self.role}", f"machine_class={'core' if core else 'edge'}",
            f"serves={'control' if core else 'edge'}", f"ip={self.ip}", f"zone={c.zone}",
            f"region=r-1", f"zones.{c.zone}=r-1", "port_range=7720,7735", f"seeds={seeds}",
            f"bootstrap={'true' if bootstrap else 'false'}",
            f"counts_toward={'true' if core else 'false'}",
            f"limits.cpu_share={0.5 if core else 0.25}", "limits.cores=1",
            f"limits.memory_mb={256 if core else 260}", "limits.max_fds=4096",
            "limits.link_mbps=1000.0", f"limits.disk_mb={128 if core else 0}",
            "discovery=registry", "entry=vip", f"heartbeat_ms={int(c.heartbeat * 1000)}",
            "contracts=base,drain,config,cost,recover,sched,advice,upkeep,sharing",
            f"fault_tolerance.machines={c.tolerance}", "fault_tolerance.zones=0",
            "fault_tolerance.regions=0", "bounds.seed_lag_s=3", "bounds.reuse_after_s=2",
            "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.catch_up_s=4",
            "bounds.drain_ms=2000", "bounds.grace_s=6", "bounds.slack_ms=200",
            "bounds.config_ms=2000", "bounds.rollback_slack_ms=250", "bounds.outer_ms=5000",
            "bounds.recover_s=12", f"bounds.hold_max_ms={c.hold_max_ms}", "bounds.stop_ms=400",
            "bounds.gang_ms=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000",
            "bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120", "bounds.far_x=3",
            "bounds.save_s=2", "bounds.restore_ms=100", "bounds.notice_ms=4500",
            "bounds.move_s=1.5", "bounds.upkeep_s=2", "bounds.require_fencing=false",
            "bounds.lease_ms=3000", "bounds.thaw_ms=300", "bounds.pace_ms=100",
            "bounds.harm_ms=4000", "config_mode=highest", "orders=call",
        ]
        if core:
            lines += [f"listen.control={self.ip}:{CONTROL_PORT}", f"data_dir={self.data}"]
        else:
            lines += [f"listen.front={self.ip}:{FRONT_PORT}", f"listen.ready={self.ip}:{READY_PORT}"]
        part = os.path.join(self.folder, "boot.part")
        with open(part, "w", encoding="utf-8") as f:
            f.write("\n".join(lines) + "\n")
        os.rename(part, os.path.join(self.folder, "boot.conf"))

    def start(self):
        binary = CONTROL if self.role == "control" else ENTRY
        if not os.path.exists(binary):
            raise CannotRun(f"{binary} is missing: run the build of the deploy file first")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["YUCCAHOLD_BOOT"] = os.path.join(self.folder, "boot.conf")
        log = open(os.path.join(self.folder, "log"), "ab")
        self.process = subprocess.Popen([binary, "--platform"], cwd=ROOT, env=env,
                                        stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.cell.record.line(f"{self.name} started")

    def kill(self):
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.process = None
            self.cell.record.line(f"{self.name} killed")

    def signal(self, number):
        self.process.send_signal(number)
        self.cell.record.line(f"{self.name} gets {signal.Signals(number).name}")

    def wipe(self):
        shutil.rmtree(self.data)
        os.makedirs(self.data)
        self.cell.record.line(f"{self.name} has lost its disk")

    def log(self):
        with open(os.path.join(self.folder, "log"), encoding="utf-8", errors="replace") as f:
            return f.read()


class Cell:
    def __init__(self, record, controls=5, entries=3, tolerance=1, hold_max_ms=6000):
        self.record = record
        self.zone, self.heartbeat = "z-a", 1.5
        self.tolerance, self.hold_max_ms = tolerance, hold_max_ms
        self.folder = tempfile.mkdtemp(prefix="yuccahold-review-")
        self.net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        self.controls, self.entries, self.minions = [], [], []
        self.controls = [Daemon(self, "control", self.ip(1 + i), f"core-{i}") for i in range(controls)]
        self.entries = [Daemon(self, "entry", self.ip(31 + i), f"edge-{i}") for i in range(entries)]
        self.running = {}
        self.done_noted = set()
        self.faults = []
        self.version = 0

    def ip(self, i):
        return f"{self.net}.{i}"

    # Hooks for the cases.

    def late_by(self, minion, path, body):
        return None

    def fails(self, task, run):
        return False

    def run_begun(self, minion, task, run):
        others = self.running.setdefault(task, [])
        self.record.line(f"minion {minion.id} begins {task} run {run}")
        if others:
            self.broken(f"TWICE: {task} run {run} begins on {minion.id} while it runs on {others}")
        if task in self.done_noted:
            self.broken(f"TWICE: {task} run {run} begins on {minion.id} after its end was noted")
        others.append((minion.id, run, minion.life))

    def run_over(self, minion, task, run, how):
        self.record.line(f"minion {minion.id} ends {task} run {run}: {how}")
        self.running[task].remove((minion.id, run, minion.life))

    def end_noted(self, minion, end):
        if end[3] == "done":
            self.done_noted.add(end[1])

    def broken(self, text):
        self.record.line(f"BROKEN {text}")
        self.faults.append(text)

    # What the platform does.

    def start_daemons(self):
        for daemon in self.controls + self.entries:
            daemon.write_settings(True)
        for daemon in self.controls + self.entries:
            daemon.start()
        for daemon in self.controls + self.entries:
            daemon.write_settings(False)

    def document(self, attempts=3):
        return {
            "version": self.version,
            "routes": [{
                "name": "r-work", "host": HOST, "path_prefix": PREFIX, "kind": "unsafe",
                "timeout_ms": 3000, "slo_ms": 250, "priority": 0, "service": SERVICE,
                "attempts": attempts, "stretch": 1.5,
            }],
            "services": [{
                "name": SERVICE, "health_path": "/health", "max_conns": 64, "protocol": "h1",
                "tls": False, "admission_check": False, "standby": False,
            }],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        }

    async def put_config(self, within=30.0):
        """Sends the next version until it is acknowledged; the daemon that did so."""
        self.version += 7
        end, at, pause = time.monotonic() + within, 0, 0.02
        while time.monotonic() < end:
            serving = [d for d in self.controls if d.process is not None]
            if not serving:
                await asyncio.sleep(0.01)
                continue
            daemon = serving[at % len(serving)]
            at += 1
            got = await request((daemon.ip, CONTROL_PORT), "PUT", "/yuccahold/config", self.document())
            self.record.line(f"configuration {self.version} sent to {daemon.name}: {got}")
            if got and got[0] == 200:
                return daemon
            await asyncio.sleep(pause)
            pause = min(1.3 * pause, 1.0)
        return None

    async def start_minions(self, count, **options):
        for _ in range(count):
            minion = Minion(self, len(self.minions), **options)
            self.minions.append(minion)
            await minion.start()

    async def ask(self, method, job, body=None, timeout=3.0, entry=None):
        """One request of a client to one of the fronts."""
        daemon = entry or random.choice(self.entries)
        headers = {"Host": HOST, "Yuccahold-Deadline-Ms": str(int(timeout * 1000))}
        got = await request((daemon.ip, FRONT_PORT), method, PREFIX + job, body, headers, timeout)
        self.record.line(f"{method} {job} at {daemon.name}: {got}")
        return got

    async def submit(self, job, body, tries=8):
        """Hands a job in; whether it was accepted."""
        for _ in range(tries):
            got = await self.ask("POST", job, body)
            if got and 200 <= got[0] < 300:
                return True
            await asyncio.sleep(0.3)
        return False

    async def wait_ready(self, within=30.0):
        end = time.monotonic() + within
        while time.monotonic() < end:
            ready = 0
            for daemon in self.entries:
                got = await request((daemon.ip, READY_PORT), "GET", "/yuccahold/ready")
                ready += bool(got and got[0] == 200)
            if ready == len(self.entries):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the entry daemons are not ready")

    def stop(self):
        for daemon in self.controls + self.entries:
            daemon.kill()
        for minion in self.minions:
            if minion.up:
                minion.up = False
                for task in minion.tasks:
                    task.cancel()
                minion.server.abort()
        keep = os.environ.get("KEEP")
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)


def task_job(cpu, ms, count=1, **fields):
    """A job of one step."""
    step = {"count": count, "cpu": cpu, "mem_mb": 256, "est_ms": ms, **fields}
    return {"spec": json.dumps({"cpu": cpu, "ms": ms}), "steps": [step]}


def new_id(rng=random):
    return f"{rng.getrandbits(64):016x}"


def main(folder, case, limit=115):
    """Plays `case(cell_options...)` and ends with its result: 0 held, 1 broken, 2 could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    record.line(f"TROUBLE={int(trouble)}")
    code = 2

    async def play():
        task = asyncio.ensure_future(case(record, trouble))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(task, limit)

    try:
        broken = asyncio.run(play())
        code = 1 if broken else 0
        for text in broken:
            print(text)
    except (Exception, asyncio.CancelledError) as e:  # the case itself failed: no result
        record.line(f"could not run: {e!r}")
        print(f"could not run: {e!r}")
    record.line(f"ends with {code}")
    raise SystemExit(code)
