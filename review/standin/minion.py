"""A minion as PROTOCOL.md describes it. It runs tasks as timers and writes down what happens."""

import asyncio
import json
import time

from cell import CONTROL, call

STATUS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 421: "Misdirected Request"}


class Run:
    def __init__(self, task, run, saved=""):
        self.task, self.run, self.saved, self.timer = task, run, saved, None


class Life:
    """One incarnation: what it knows is gone with it."""

    def __init__(self, started):
        self.started = started  # steady clock
        self.born = int(time.time() * 1000)
        self.token = 0
        self.lease = 0.0  # on its own clock, ms
        self.running = {}  # task -> Run
        self.barred = {}  # task -> highest run that was stopped or has ended
        self.ended = []  # [number, task, run, how, saved]
        self.next_end = 1
        self.acked = 0
        self.changed = asyncio.Event()

    def clock(self):
        return (time.monotonic() - self.started) * 1000.0


class Minion:
    """The machine, its address and its present life.

    `keeps_id`: a new life has the id of the one before, with `born` to tell them apart.
    """

    def __init__(self, cell, index, service, ip, port, zone, keeps_id, hold_max_ms, work_s):
        self.cell, self.index, self.service, self.ip, self.port = cell, index, service, ip, port
        self.zone, self.keeps_id, self.hold_max_ms, self.work_s = zone, keeps_id, hold_max_ms, work_s
        self.record = cell.record
        self.lives = 0
        self.name = f"i-{index:02d}00"
        self.life = None
        self.seq = 0
        self.server = None
        self.writers = set()
        self.tasks = []
        self.state = "ready"
        self.report_now = asyncio.Event()
        self.last_report = None
        self.acked = asyncio.Event()  # a report of the present state was acknowledged
        self.cut_off = False  # nothing reaches it; what it sends still arrives
        self.late = None  # asked for each start order; true: no answer, and carried out later
        self.history = []  # (time, what, machine, life, task, run, how)
        self.capacity = {"cpu": 32000, "mem_mb": 131072, "gpu": 0}

    # Life and death.

    async def start(self):
        self.lives += 1
        if not self.keeps_id:
            self.name = f"i-{self.index:02d}{self.lives:02d}"
        self.life = Life(time.monotonic())
        self.seq = 0
        self.state = "ready"
        self.server = await asyncio.start_server(self._connection, self.ip, self.port)
        self.tasks = [asyncio.create_task(self._beat()), asyncio.create_task(self._watch_lease())]
        self.note("up")

    def crash(self):
        """All that runs ends, and the address refuses connections."""
        life, self.life = self.life, None
        for run in life.running.values():
            run.timer.cancel()
            self.note("lost", run.task, run.run, "crash", life=self.lives)
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in self.tasks:
            task.cancel()
        self.note("down")

    def refuse_connections(self):
        """A cut that refuses: no connection to it stays or comes about. It runs on."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.record.line(f"minion {self.name}: connections to it are refused")

    async def accept_connections(self):
        self.server = await asyncio.start_server(self._connection, self.ip, self.port)
        self.record.line(f"minion {self.name}: connections to it are accepted again")

    def note(self, what, task="", run=0, how="", life=None):
        at = self.record.now()
        self.history.append((at, what, self.index, life or self.lives, task, run, how))
        self.record.line(
            f"minion {self.name} life {life or self.lives}: {what} {task} {run or ''} {how}".rstrip()
        )

    async def _beat(self):
        # Spread over the interval, as minions do not start at the same moment.
        await asyncio.sleep(0.01 * self.index)
        n = self.index
        while True:
            life = self.life
            self.seq += 1
            body = {
                "service": self.service, "addr": f"{self.ip}:{self.port}", "zone": self.zone,
                "version": "v1", "slots": 8, "state": self.state, "cold_left_ms": 0,
                "capacity": self.capacity, "labels": ["a", f"r1-{self.index // 4}"],
                "clock_ms": int(life.clock()), "seq": self.seq,
            }
            if self.keeps_id:
                body["born"] = life.born
            self.last_report = (self.name, body)
            for _ in range(len(self.cell.controls)):
                n += 1
                d = self.cell.controls[n % len(self.cell.controls)]
                try:
                    path = f"/yuccahold/instances/{self.name}"
                    status, _ = await call(d.ip, CONTROL, "PUT", path, body, 1.0)
                    if self.cut_off:
                        self.record.line(f"minion {self.name}: {d.name} has its heartbeat ({status})")
                        await asyncio.sleep(1.0)
                    elif status // 100 == 2:
                        if self.state == "draining":
                            self.acked.set()
                        break
                except (OSError, EOFError, asyncio.TimeoutError):
                    pass
            try:
                await asyncio.wait_for(self.report_now.wait(), 1.5)
                self.report_now.clear()
            except asyncio.TimeoutError:
                pass

    async def leave(self, serve_s, cut_off_after_s=None, unanswered_s=0.0):
        """Drains, serves on, says that it ends, and ends.

        With `cut_off_after_s`, nothing reaches it from then on. Without an acknowledgement it goes on
        to other daemons and ends after `unanswered_s`.
        """
        self.state = "draining"
        self.report_now.set()
        await self.acked.wait()
        self.record.line(f"minion {self.name}: draining is acknowledged")
        if cut_off_after_s is not None:
            await asyncio.sleep(cut_off_after_s)
            self.cut_off = True
            self.record.line(f"minion {self.name}: from now on nothing reaches it")
            serve_s -= cut_off_after_s
        await asyncio.sleep(serve_s)
        path = f"/yuccahold/instances/{self.name}"
        end = time.monotonic() + unanswered_s
        n = self.index
        while True:
            d = self.cell.controls[n % len(self.cell.controls)]
            n += 1
            self.record.line(f"minion {self.name} sends DELETE to {d.name}")
            sent = time.monotonic()
            status = None
            try:
                status, _ = await call(d.ip, CONTROL, "DELETE", path, None, 1.0)
            except (OSError, EOFError, asyncio.TimeoutError):
                pass
            if status is not None and not self.cut_off:
                self.record.line(f"minion {self.name}: DELETE is answered with {status}")
                break
            self.record.line(f"minion {self.name}: an answer ({status}) does not reach it")
            # "A second without a response", then another daemon.
            await asyncio.sleep(sent + 1.0 - time.monotonic())
            if time.monotonic() >= end:
                break
        self.record.line(f"minion {self.name} ends")
        self.crash()

    async def _watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            life = self.life
            if life.running and life.clock() > life.lease:
                for run in list(life.running.values()):
                    self._end(life, run, "lapsed")

    # Runs.

    def _end(self, life, run, how):
        run.timer.cancel()
        life.running.pop(run.task, None)
        life.barred[run.task] = max(life.barred.get(run.task, 0), run.run)
        life.ended.append([life.next_end, run.task, run.run, how, run.saved])
        life.next_end += 1
        self.note("end", run.task, run.run, how)
        life.changed.set()
        life.changed = asyncio.Event()

    async def _work(self, life, run):
        await asyncio.sleep(self.work_s)
        if self.life is life:
            self._end(life, run, "done")

    def _extend(self, life, deadline):
        if deadline is not None:
            life.lease = max(life.lease, min(deadline, life.clock() + self.hold_max_ms))

    def run_start(self, body):
        life = self.life
        clock = int(life.clock())
        refuse = lambda why: (409, {"clock_ms": clock, "reason": why})  # noqa: E731
        token = body.get("fencing_token", 0)
        if token < life.token:
            return refuse("fence")
        life.token = token
        task, run = body["task"], body["run"]
        known = life.running.get(task)
        if known and known.run == run:
            return 200, {"clock_ms": clock}
        if body["deadline_ms"] < clock:
            return refuse("late")
        self._extend(life, body["deadline_ms"])
        if run <= life.barred.get(task, 0) or (known and known.run > run):
            return refuse("old")
        if known:
            self._end(life, known, "stopped")
        new = Run(task, run, body.get("last_checkpoint", ""))
        life.running[task] = new
        new.timer = asyncio.create_task(self._work(life, new))
        self.note("start", task, run)
        return 200, {"clock_ms": clock}

    def run_stop(self, body):
        life = self.life
        clock = int(life.clock())
        token = body.get("fencing_token", 0)
        if token < life.token:
            return 409, {"clock_ms": clock, "reason": "fence"}
        life.token = token
        task, run = body["task"], body["run"]
        life.barred[task] = max(life.barred.get(task, 0), run)
        known = life.running.get(task)
        if known and known.run <= run:
            self._end(life, known, "stopped")
        return 200, {"clock_ms": clock}

    async def hold(self, body):
        life = self.life
        token = body.get("fencing_token", 0)
        if token < life.token:
            return 409, {"clock_ms": int(life.clock()), "reason": "fence"}
        life.token = token
        acked = body.get("acked_upto", 0)
        for row in life.ended:
            if row[0] <= acked:
                self.note("taken note of", row[1], row[2], row[3])
        life.ended = [row for row in life.ended if row[0] > acked]
        self._extend(life, body.get("deadline_ms"))
        wait = min(body.get("wait_ms", 0), 2000) / 1000.0
        if wait and not life.ended:
            try:
                await asyncio.wait_for(life.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
        answer = {
            "clock_ms": int(life.clock()),
            "running": [[r.task, r.run, r.saved, 50, 0] for r in life.running.values()],
            "ended": life.ended[:500],
        }
        if self.keeps_id:
            answer["born"] = life.born
        return 200, answer

    # HTTP.

    async def handle(self, path, instance, body):
        """The answer to an order; also used for one that is carried out late."""
        if instance and instance != self.name:
            return 421, {"clock_ms": int(self.life.clock())}
        if path == "/yuccahold/run-start":
            return self.run_start(body)
        if path == "/yuccahold/run-stop":
            return self.run_stop(body)
        if path == "/yuccahold/hold":
            return await self.hold(body)
        return (200, {}) if path == "/health" else (404, {})

    async def _carry_out_late(self, delay, path, instance, body):
        await asyncio.sleep(delay)
        if self.life is None:
            self.record.line(f"minion {self.name}: a late order finds nobody")
            return
        status, answer = await self.handle(path, instance, body)
        self.record.line(
            f"minion {self.name} life {self.lives}: late order for {body['task']} run {body['run']}, "
            f"sent {delay} s before: {status} {answer.get('reason', '')}"
        )

    async def _connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line = await reader.readline()
                if not line:
                    return
                path = line.split()[1].decode()
                length, instance = 0, None
                while True:
                    line = await reader.readline()
                    if line in (b"\r\n", b"\n", b""):
                        break
                    name, _, value = line.decode().partition(":")
                    if name.lower() == "content-length":
                        length = int(value)
                    elif name.lower() == "yuccahold-expect-instance":
                        instance = value.strip()
                data = await reader.readexactly(length)
                body = json.loads(data) if data else {}
                if self.cut_off:
                    await reader.read()  # it does not arrive; the caller gives up
                    return
                if path == "/yuccahold/run-start" and self.late:
                    delay = self.late(self, body)
                    if delay:
                        asyncio.create_task(self._carry_out_late(delay, path, instance, body))
                        self.record.line(
                            f"minion {self.name} life {self.lives}: no answer to the start of "
                            f"{body['task']} run {body['run']}, deadline {body['deadline_ms']} on its clock"
                        )
                        await reader.read()  # until the caller gives up
                        return
                status, answer = await self.handle(path, instance, body)
                payload = json.dumps(answer).encode()
                head = (
                    f"HTTP/1.1 {status} {STATUS.get(status, 'Status')}\r\n"
                    f"Content-Type: application/json\r\nContent-Length: {len(payload)}\r\n\r\n"
                )
                writer.write(head.encode() + payload)
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError, AttributeError, asyncio.CancelledError):
            # The caller left, or this life or the script ended while it answered.
            return
        finally:
            self.writers.discard(writer)
            writer.close()
