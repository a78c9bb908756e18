"""Starts the daemons of the deploy file as separate processes on loopback addresses.

The platform's side of the contract: settings files, signals, restarts after an end.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

REPO = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
FRONT, READY, CONTROL, ADVICE = 8161, 8167, 8166, 8169
PORTS = (7720, 7735)


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """Lines with the seconds since the start of the script."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def free_network():
    """The first three numbers of loopback addresses on which nobody listens."""
    for _ in range(200):
        net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        try:
            for host in (1, 2, 20):
                for port in (PORTS[0], PORTS[0] + 1, FRONT, READY, CONTROL, 9464):
                    with socket.socket() as s:
                        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        s.bind((f"{net}.{host}", port))
            return net
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


def sync_ms(folder):
    """Time that a small file takes to reach the disk; 0 where that can't be tried."""
    times = []
    try:
        for _ in range(5):
            with tempfile.NamedTemporaryFile(dir=folder) as f:
                f.write(b"x" * 4096)
                f.flush()
                began = time.monotonic()
                os.fsync(f.fileno())
                times.append((time.monotonic() - began) * 1000.0)
    except OSError:
        return 0.0
    return sorted(times)[2]


def folder_on_a_disk():
    """A new temporary folder; on a disk, where there is one, as the machines of the core have."""
    choices = [tempfile.gettempdir(), "/var/tmp", os.path.join(REPO, "target")]
    best = max(choices, key=sync_ms)
    first = next((c for c in choices if sync_ms(c) >= 0.05), best)
    return tempfile.mkdtemp(prefix="review-", dir=first)


class Daemon:
    """One machine with one process."""

    def __init__(self, cell, role, name, ip, zone):
        self.cell, self.role, self.name, self.ip, self.zone = cell, role, name, ip, zone
        self.folder = os.path.join(cell.folder, name)
        self.data = os.path.join(self.folder, "data")
        os.makedirs(self.data if role == "control" else self.folder)
        self.child = None
        self.own_ends = []
        self.disrupted_at = 0.0
        self.keep_up = False

    def write_settings(self, bootstrap):
        b = self.cell.bounds
        listen = (
            f"listen.control={self.ip}:{CONTROL}\n"
            if self.role == "control"
            else f"listen.front={self.ip}:{FRONT}\nlisten.ready={self.ip}:{READY}\n"
        )
        zones = "".join(f"zones.{z}=gt-central\n" for z in self.cell.zones)
        data = f"data_dir={self.data}\n" if self.role == "control" else ""
        text = (
            f"node={self.name}\nrole={self.role}\n"
            f"machine_class={'core' if self.role == 'control' else 'edge'}\n"
            f"serves={'control' if self.role == 'control' else 'edge'}\n"
            f"ip={self.ip}\nzone={self.zone}\nregion=gt-central\n{zones}{listen}{data}"
            f"port_range={PORTS[0]},{PORTS[1]}\n"
            f"seeds={','.join(self.cell.seeds())}\nbootstrap={'true' if bootstrap else 'false'}\n"
            f"counts_toward={'true' if self.role == 'control' else 'false'}\n"
            "limits.cpu_share=0.5\nlimits.cores=1\nlimits.memory_mb=256\nlimits.max_fds=4096\n"
            "limits.link_mbps=1000.0\nlimits.disk_mb=128\ndiscovery=registry\nentry=vip\n"
            "heartbeat_ms=1500\ncontracts=base,drain,config,cost,recover,sched,advice\n"
            "fault_tolerance.machines=1\nfault_tolerance.zones=0\nfault_tolerance.regions=0\n"
            + "".join(f"bounds.{k}={v}\n" for k, v in b.items())
            + f"config_mode=highest\norders=call\nadvice={self.cell.net}.250:{ADVICE}\n"
        )
        path = os.path.join(self.folder, "boot.conf")
        with open(path + ".new", "w", encoding="utf-8") as f:
            f.write(text)
        os.replace(path + ".new", path)

    def start(self):
        log = open(os.path.join(self.folder, "log"), "ab")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["YUCCAHOLD_BOOT"] = os.path.join(self.folder, "boot.conf")
        self.child = subprocess.Popen(
            self.cell.commands[self.role],
            cwd=REPO,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.keep_up = True
        self.cell.record.line(f"platform starts {self.name} at {self.ip}")

    def signal(self, number):
        if self.child and self.child.poll() is None:
            self.child.send_signal(number)

    def kill(self, why):
        """SIGKILL; the platform does not start it again by itself."""
        self.keep_up = False
        self.disrupted_at = time.monotonic()
        if self.child:
            if self.child.poll() is None:
                self.child.kill()
            self.child.wait()
            self.child = None
        self.cell.record.line(f"platform kills {self.name} ({why})")

    def wipe(self):
        shutil.rmtree(self.data)
        os.makedirs(self.data)
        self.cell.record.line(f"{self.name} has lost its disk")

    def last_error(self):
        """The last error in the log, without the names of temporary folders."""
        error = "no error in the log"
        with open(os.path.join(self.folder, "log"), encoding="utf-8", errors="replace") as f:
            for line in f:
                if '"error":' in line:
                    try:
                        error = json.loads(line[line.index("{"):])["error"]
                    except (ValueError, KeyError):
                        continue
        return error.replace(self.folder, "")


class Cell:
    """The daemons of one deployment."""

    def __init__(self, record, controls, entries, bounds, zones=("mixco", "villanueva", "zona-doce")):
        self.record, self.bounds, self.zones = record, bounds, zones
        self.net = free_network()
        self.folder = folder_on_a_disk()
        with open(os.path.join(REPO, "deploy", "system.toml"), "rb") as f:
            roles = tomllib.load(f)["roles"]
        self.commands = {name: role["run"].split(" ") for name, role in roles.items()}
        for command in self.commands.values():
            if not os.access(os.path.join(REPO, command[0]), os.X_OK):
                raise CannotRun(f"{command[0]} is not built")
        self.controls, self.entries = [], []
        for i in range(controls):
            zone = zones[i % len(zones)]
            ip = f"{self.net}.{1 + i}"
            self.controls.append(Daemon(self, "control", f"core-{zone}-{i}", ip, zone))
        for i in range(entries):
            zone = zones[i % len(zones)]
            ip = f"{self.net}.{20 + i}"
            self.entries.append(Daemon(self, "entry", f"edge-{zone}-{i}", ip, zone))
        self.supervisor = None

    def seeds(self):
        return [f"{d.ip}:{CONTROL}" for d in self.controls[:3]]

    def all(self):
        return self.controls + self.entries

    def start(self):
        for d in self.all():
            d.write_settings(True)
        for d in self.all():
            d.start()
        self.supervisor = asyncio.create_task(self._supervise())

    async def first_config(self, document):
        """The first configuration, sent until it is accepted. Later starts aren't the first one."""
        status, _ = await self.control_call("PUT", "/yuccahold/config", document)
        self.record.line(f"operator PUT configuration {document['version']}: {status}")
        if status != 200:
            raise CannotRun("the first configuration is not accepted")
        for d in self.all():
            d.write_settings(False)

    async def _supervise(self):
        """Starts a process again after it has ended by itself."""
        while True:
            await asyncio.sleep(0.05)
            for d in self.all():
                if d.keep_up and d.child and d.child.poll() is not None:
                    code = d.child.returncode
                    d.own_ends.append(time.monotonic())
                    self.record.line(f"{d.name} ended by itself with {code}: {d.last_error()}")
                    d.child = None
                    await asyncio.sleep(0.5)
                    if d.keep_up:
                        d.start()

    def stop(self):
        if self.supervisor:
            self.supervisor.cancel()
        for d in self.all():
            d.keep_up = False
            if d.child:
                if d.child.poll() is None:
                    d.child.send_signal(signal.SIGCONT)
                    d.child.kill()
                d.child.wait()
                d.child = None
        if os.environ.get("KEEP"):
            self.record.line(f"kept {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def control_call(self, method, path, body=None, timeout=1.0, tries=30, only=None):
        """A call of the operator: one control daemon after the other until one answers."""
        daemons = list(only or self.controls)
        for i in range(tries):
            d = daemons[i % len(daemons)]
            try:
                status, answer = await call(d.ip, CONTROL, method, path, body, timeout)
                if status < 500 and status not in (408, 429):
                    return status, answer
            except (OSError, asyncio.TimeoutError, EOFError, ValueError):
                pass
            await asyncio.sleep(min(0.05 * (i + 1), 0.5))
        return None, None


async def call(ip, port, method, path, body=None, timeout=3.0, headers=None, raw=False):
    """One HTTP request on a connection of its own."""

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            data = b"" if body is None else (body if raw else json.dumps(body).encode())
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}"]
            given = {"Host": f"{ip}:{port}", "Content-Type": "application/json", "Connection": "close"}
            given.update(headers or {})
            lines += [f"{k}: {v}" for k, v in given.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            await writer.drain()
            return await read_response(reader)
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)


async def read_response(reader):
    head = await reader.readline()
    if not head:
        raise EOFError("no response")
    status = int(head.split()[1])
    length = 0
    while True:
        line = await reader.readline()
        if not line:
            raise EOFError("a response was cut off")
        if line in (b"\r\n", b"\n"):
            break
        name, _, value = line.partition(b":")
        if name.strip().lower() == b"content-length":
            length = int(value)
    data = await reader.readexactly(length)
    return status, (json.loads(data) if data else None)
