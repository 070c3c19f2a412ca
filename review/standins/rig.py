"""Stand-ins for clients, stores and the bulletin, and the start of gateways, for the cases of this review.

All of it runs in one asyncio loop on loopback addresses and the real clock; gateways are processes of their own,
started with the command of the deploy file. Stand-ins behave soundly unless a case tells them otherwise:

* a store keeps copies, honours `within`, `miss`, `peek`, `KILL` and the idempotency key, and says truthfully what ran;
* old copies lie about in caches and parents for a while after a purge, as the pages allow, and are given out only where
  `within` admits them;
* the bulletin numbers its events, tells all after `Last-Event-ID` at once, and sends a comment each second.
"""
import asyncio
import hashlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import traceback

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


def now():
    return time.time()


def deploy_command():
    """The `run` command of the deploy file."""
    for line in open(os.path.join(ROOT, "deploy", "balancer.toml")):
        if line.startswith("run"):
            return line.split("=", 1)[1].strip().strip('"')
    raise SystemExit(2)


class Record:
    """What was sent, answered and run, in order."""

    def __init__(self, path=None):
        self.file = open(path, "w") if path else None
        self.start = now()

    def __call__(self, *words):
        line = "%9.3f %s" % (now() - self.start, " ".join(str(w) for w in words))
        if self.file:
            self.file.write(line + "\n")
            self.file.flush()
        else:
            print(line)


def settings(**changes):
    """Settings of a small deployment, by the example of the wire page."""
    base = {
        "balancers": 1,
        "clients": {"marksRetry": True},
        "costs": {"connection": 0.0, "crossZone": 0.013, "handshake": 0.0, "lateFail": 0.08, "membershipMode": 0.0,
                  "moves": 0.0, "origin": 0.11, "peer": 0.01, "probe": 0.0, "waste": 0.041},
        "family": "edge",
        "familyInfo": {"canJoin": False, "classParts": [False, False, False], "goneEverywhereMs": 6000.0,
                       "graceForMs": [0.0, 0.0, 0.0], "homeHub": [0, 1, 0], "lifetimeByClassMs": [0.0, 8000.0, 0.0],
                       "mayPassBy": False, "neverKept": [False, False, True], "noteLevel": "all",
                       "noticeTimeMs": 300.0, "oneFlowKbPerS": 7800.0, "originBearsMs": 3000.0, "parentBreaksAt": 2.0,
                       "parentFloor": 0.061, "peersFill": "any", "pipeKbPerS": [0.0, 0.0, 66244.0],
                       "reportX0": "share of hits, lately", "reportX1": "transfers over those that fit",
                       "rootFallMultiple": 2.5, "shieldKind": 1, "storeKind": 2, "transitPrice": 0.06,
                       "upperColdMs": 21000.0, "worthWhenOld": [0.7, 0.7, 0.7], "zoneBalancers": [0, 0, 1]},
        "limits": {"cancel": True, "connIdleMs": 30000.0, "connectTimeoutMs": 400.0, "cpuUsPerRequest": 0.0,
                   "cpuUsPerS": 543963, "maxAttempts": 8, "maxRetryAfterMs": 1000.0, "mayDuplicate": True,
                   "mostHeld": 21758, "peers": True, "probes": False, "retryAfter": True, "streamsPerConn": 32},
        "locality": 2, "me": 0, "membershipMode": "push", "models": ["standard", "parent", "origin"],
        "objectiveMix": {"whole": 0.45, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.35},
        "overShareWorth": 0.1, "report": {"fields": ["util", "x1", "x0"], "via": "answers"},
        "rules": {"answerSlackMs": 8.0, "fallMs": 2000.0, "fallMultiple": 2.5, "mustAskInMs": 10000.0,
                  "startCapacity": 0.21, "stopSendingWithinMs": 1000.0, "warmWithinMs": 17000.0},
        "services": [
            {"aimStretch": 1.6, "deadlineMs": 6000.0, "effect": "pure", "group": "all", "lateShare": 0.15,
             "name": "history-files", "stream": False, "targetMs": 600.0, "windowMs": 5000.0, "worth": 2.0},
            {"aimStretch": 2.0, "deadlineMs": 2500.0, "effect": "pure", "group": "all", "lateShare": 0.2,
             "name": "bid-status", "stream": False, "targetMs": 400.0, "windowMs": 5000.0, "worth": 1.0},
            {"aimStretch": 0.0, "deadlineMs": 3000.0, "effect": "token", "group": "all", "lateShare": 0.0,
             "name": "bid-submit", "stream": False, "targetMs": 800.0, "windowMs": 3000.0, "worth": 3.0}],
        "stage": 0, "tenants": [], "tickMs": 2.0, "tiers": ["edge-cache"], "valueBy": "request",
        "weightKind": "rough", "zones": ["east", "west", "edge-1"]}
    for path, value in changes.items():
        place, keys = base, path.split("__")
        for key in keys[:-1]:
            place = place[int(key)] if isinstance(place, list) else place[key]
        if isinstance(place, list):
            place[int(keys[-1])] = value
        else:
            place[keys[-1]] = value
    return base


# ---------------------------------------------------------------------------------------------------- the origin's data

class World:
    """What the origin holds: the version of each object, and what has run there."""

    def __init__(self, record):
        self.record = record
        self.object_version = {}
        self.group_version = {}
        self.runs = {}          # call id -> list of (time, store)
        self.keys = {}          # idempotency key -> time of the run
        self.key_window = 3.0
        self.group_of = {}
        self.purges = []        # (number of the event, kind, id)
        self.gone_everywhere = 5.0
        self.stores = {}

    def version(self, thing, group):
        return (self.object_version.get(thing, 0), self.group_version.get(group, 0))

    def body(self, profile, thing, nth, group, version, size):
        seed = hashlib.sha256(("%s/%s/%s/%s" % (profile, thing, nth, version)).encode()).digest()
        head = ("%s|%s|%s|%s|" % (profile, thing, nth, "%d.%d" % version)).encode()
        return (head + seed * (size // len(seed) + 1))[:max(size, len(head))]

    def sweep(self, recall):
        """Some seconds after a purge no older copy is left at any cache or parent."""
        for store in self.stores.values():
            for key, copy in list(store.copies.items()):
                hit = key[1] == recall.get("item") or self.group_of.get(key[1], 0) == recall.get("lot")
                if hit and copy.issued * 1000 <= recall["issued"]:
                    del store.copies[key]

    def purge_object(self, thing):
        self.object_version[thing] = self.object_version.get(thing, 0) + 1

    def purge_group(self, group):
        self.group_version[group] = self.group_version.get(group, 0) + 1


def tag_of(body):
    return hashlib.sha256(body).hexdigest()[:16]


class Copy:
    __slots__ = ("issued", "body", "tag")

    def __init__(self, issued, body):
        self.issued, self.body, self.tag = issued, body, tag_of(body)


# --------------------------------------------------------------------------------------------------------------- stores

def encode(*words):
    out = [b"*%d\r\n" % len(words)]
    for word in words:
        word = word if isinstance(word, bytes) else str(word).encode()
        out.append(b"$%d\r\n%s\r\n" % (len(word), word))
    return b"".join(out)


async def read_array(reader):
    line = await reader.readline()
    if not line:
        return None
    assert line[:1] == b"*", line
    words = []
    for _ in range(int(line[1:])):
        length = int((await reader.readline())[1:])
        words.append((await reader.readexactly(length + 2))[:-2])
    return words


class Store:
    """A cache, a parent or the origin."""

    def __init__(self, world, name, kind, zone="edge-1", share=8, size=2000, work=0.01):
        self.world, self.name, self.kind, self.zone, self.share = world, name, kind, zone, share
        self.size, self.work = size, work
        self.copies = {}
        self.server = None
        self.port = 0
        self.peers = {}
        self.connections = set()
        self.arrivals = []      # (time, call id, fields)
        self.hung = False       # takes requests and answers none
        self.hooks = []         # functions (store, call, fields, body, writer) -> None or an awaitable that answers
        self.fill_time = 0.02
        self.fault = None       # function(store, call, fields) -> word or None
        self.address = None
        self.inflight = {}

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = "127.0.0.1:%d" % self.port
        return self

    async def stop(self):
        """The process dies: its listener is gone, its connections are reset."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.connections):
            writer.transport.abort()
        self.connections.clear()
        self.copies.clear()

    def entry(self, state="up", born_ms=0, block=0):
        return {"host": self.name, "dial": self.address, "site": self.zone,
                "class": {"cache": "standard"}.get(self.kind, self.kind), "block": block, "health": state,
                "share": self.share, "born_ms": born_ms}

    async def serve(self, reader, writer):
        self.connections.add(writer)
        writer.transport.set_write_buffer_limits(high=1 << 22)
        try:
            while True:
                words = await read_array(reader)
                if words is None:
                    break
                if words[0] == b"PULL":
                    call, fields, body = words[1].decode(), words[2].decode(), words[3]
                    fields = dict(f.split("=", 1) for f in fields.split(",")) if fields != "-" else {}
                    self.arrivals.append((now(), call, fields))
                    self.world.record("store", self.name, "PULL", call, words[2].decode())
                    task = asyncio.ensure_future(self.handle(call, fields, body, writer))
                    self.inflight[(writer, call)] = task
                elif words[0] == b"KILL":
                    self.world.record("store", self.name, "KILL", words[1].decode())
                    task = self.inflight.pop((writer, words[1].decode()), None)
                    if task:
                        task.cancel()
                elif words[0] in (b"ECHO", b"METER"):
                    writer.write(encode(words[1], "yes", "-", b""))
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, AssertionError):
            pass
        finally:
            self.connections.discard(writer)
            for key in [k for k in self.inflight if k[0] is writer]:
                self.inflight.pop(key).cancel()
            writer.close()

    def answer(self, writer, call, word, fields, body=b""):
        text = ",".join("%s=%s" % item for item in fields.items()) or "-"
        self.world.record("store", self.name, word, call, text, len(body))
        if not writer.is_closing():
            writer.write(encode(call, word, text, body))

    async def handle(self, call, fields, body, writer):
        for hook in self.hooks:
            done = hook(self, call, fields, body, writer)
            if done is not None:
                await done
                return
        if self.hung:
            return
        if self.fault:
            word = self.fault(self, call, fields)
            if word:
                self.answer(writer, call, word, {})
                return
        await asyncio.sleep(self.work)
        await self.respond(call, fields, body, writer)
        self.inflight.pop((writer, call), None)

    async def respond(self, call, fields, body, writer):
        profile, thing, nth = fields["profile"], fields["thing"], fields["nth"]
        never_kept = profile in self.world.never_kept
        report = {"report": "util:0.2;x1:0.3;x0:0.7"}
        source = self.peers.get(fields.get("miss"))
        if never_kept:
            origin = self if self.kind == "origin" else source
            if origin is None:
                return self.answer(writer, call, "nothing", {"remark": "UP_MISS", **report})
            if origin.server is None:
                return self.answer(writer, call, "refused", {"remark": "UP_DOWN", **report})
            await asyncio.sleep(origin.fill_time)
            copy = origin.run(call, fields, body, self.name)
            return self.give(writer, call, fields, copy, "MISS_ORIGIN", report)
        within = int(fields.get("within", "0")) / 1000.0 or self.world.fresh.get(profile, 0.0)
        copy = self.usable(profile, thing, nth, within)
        if copy:
            return self.give(writer, call, fields, copy, "HIT", report)
        if self.kind == "origin":
            return self.give(writer, call, fields, self.fetch(profile, thing, nth), "MISS_ORIGIN", report)
        if source is None:
            return self.answer(writer, call, "nothing", {"remark": "UP_MISS", **report})
        if source.server is None or source.hung:
            await asyncio.sleep(0.0 if source.server is None else 1.2)
            return self.answer(writer, call, "refused", {"remark": "UP_DOWN", **report})
        await asyncio.sleep(source.fill_time)
        copy = source.usable(profile, thing, nth, within)
        note = "MISS"
        if copy is None:
            if source.kind == "cache" or "peek" in fields.get("f", ""):
                return self.answer(writer, call, "nothing", {"remark": "UP_MISS", **report})
            origin = source if source.kind == "origin" else self.world.origin
            if origin.server is None:
                return self.answer(writer, call, "refused", {"remark": "ORIGIN_ERR", **report})
            await asyncio.sleep(origin.fill_time)
            copy = origin.fetch(profile, thing, nth)
            note = "MISS_ORIGIN"
            if source.kind == "parent":
                source.copies[(profile, thing, nth)] = copy
        if fields.get("prio", "0") != "0":
            self.copies[(profile, thing, nth)] = copy
        return self.give(writer, call, fields, copy, note, report)

    def usable(self, profile, thing, nth, within):
        copy = self.copies.get((profile, thing, nth))
        if copy and within and now() - copy.issued > within:
            return None
        return copy

    def fetch(self, profile, thing, nth):
        group = self.world.group_of.get(thing, 0)
        version = self.world.version(thing, group)
        body = self.world.body(profile, thing, nth, group, version, self.size)
        return Copy(now(), body)

    def run(self, call, fields, body, via):
        """Runs a request that leaves no copy; a repeat of a key within its window is dropped."""
        key = fields.get("replay")
        profile = fields["profile"]
        ran = self.world.keys.get(key) if key else None
        if ran is None or now() - ran > self.world.key_window:
            self.world.runs.setdefault(key or call, []).append((now(), via))
            if key:
                self.world.keys[key] = now()
            self.world.record("origin ran", profile, call, key or "-", "via", via)
        return Copy(now(), b"done|%s" % call.encode())

    def give(self, writer, call, fields, copy, note, report):
        more = {"remark": note, "entity": copy.tag, "issued": int(copy.issued * 1000), **report}
        if fields.get("mine") == copy.tag:
            return self.answer(writer, call, "current", more)
        return self.answer(writer, call, "ok", more, copy.body)


# ------------------------------------------------------------------------------------------------------------- bulletin

class Bulletin:
    def __init__(self, world):
        self.world = world
        self.events = []        # texts
        self.server = None
        self.writers = set()
        self.silent = False
        self.address = None
        self.told = {}          # number -> time it was in the bulletin
        self.sent = {}          # number -> time it was first written to a gateway
        self.calls = []

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    async def stop(self, close=True):
        if self.server:
            self.server.close()
            self.server = None
        if close:
            for writer in list(self.writers):
                writer.transport.abort()

    def add(self, content):
        number = len(self.events) + 1
        event = {"no": number, **content}
        self.events.append(event)
        self.told[number] = now()
        self.world.record("bulletin", json.dumps(event))
        if "recall" in event:
            asyncio.get_running_loop().call_later(self.world.gone_everywhere, self.world.sweep, event["recall"])
        if not self.silent:
            for writer in list(self.writers):
                self.send(writer, event)
        return number

    def send(self, writer, event):
        if not writer.is_closing():
            self.sent.setdefault(event["no"], now())
            writer.write(b"id: %d\ndata: %s\n\n" % (event["no"], json.dumps(event).encode()))

    def roster(self, entries, whole=False):
        return self.add({"roster": {"seq": len(self.events) + 1, "whole": whole, "hosts": entries}})

    def purge_object(self, thing):
        issued = int(now() * 1000)
        self.world.purge_object(thing)
        number = self.add({"recall": {"item": thing, "issued": issued}})
        self.world.purges.append((number, "item", thing))
        return number

    def purge_group(self, group):
        issued = int(now() * 1000)
        self.world.purge_group(group)
        number = self.add({"recall": {"lot": group, "issued": issued}})
        self.world.purges.append((number, "lot", group))
        return number

    def known(self):
        return {"no": len(self.events), "items": list(self.events)}

    async def serve(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            last = 0
            for line in head.decode().split("\r\n"):
                if line.lower().startswith("last-event-id:"):
                    last = int(line.split(":")[1])
            self.calls.append((now(), last))
            self.world.record("bulletin called", last)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            if not self.silent:
                for event in self.events[last:]:
                    self.send(writer, event)
            self.writers.add(writer)
            while not writer.is_closing():
                if not self.silent:
                    writer.write(b": alive\n")
                await asyncio.sleep(1.0)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


# ------------------------------------------------------------------------------------------------------------- gateways

class Gateway:
    def __init__(self, rig, name, listen, console, folder, index=0):
        self.rig, self.name, self.listen, self.console, self.folder = rig, name, listen, console, folder
        self.index = index
        self.process = None
        self.config = os.path.join(folder, "config-%s.json" % name)
        self.tmp = os.path.join(folder, "tmp-%s" % name)
        os.makedirs(self.tmp, exist_ok=True)

    def write(self, settings_value, bulletin, known, **more):
        peer = "127.0.0.1:%d" % free_port()
        config = {"name": self.name, "listen": self.listen, "seed": "%016x" % random.getrandbits(64),
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                  "console": self.console, "peer_listen": peer, "peers": [peer], "peers_all": peer,
                  "bulletin": bulletin, "flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000,
                  "known": known, "settings": settings_value, **more}
        temporary = self.config + ".new"
        with open(temporary, "w") as file:
            json.dump(config, file)
        os.rename(temporary, self.config)

    async def start(self, console=None):
        environment = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
        environment.update({"EDGE_NAME": self.name, "EDGE_LISTEN": self.listen, "EDGE_CONFIG": self.config,
                            "EDGE_CONSOLE": console or self.console, "TMPDIR": self.tmp})
        log = open(os.path.join(self.folder, "log-%s.txt" % self.name), "a")
        process = await asyncio.create_subprocess_exec("/bin/sh", "-c", deploy_command(), cwd=ROOT, env=environment,
                                                       stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL)
        self.rig.processes.append(process)
        self.process = process
        self.rig.record("gateway", self.name, "started", process.pid)
        return process

    async def ready(self, console=None, timeout=10.0):
        until = now() + timeout
        while now() < until:
            try:
                status, _ = await self.call("GET", "/ops/readiness", console=console)
                if status == 200:
                    self.rig.record("gateway", self.name, "ready")
                    return True
            except (OSError, asyncio.TimeoutError, ValueError, IndexError):
                pass
            await asyncio.sleep(0.02)
        return False

    async def call(self, method, path, body=None, console=None):
        host, port = (console or self.console).split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            text = json.dumps(body).encode() if body is not None else b""
            head = "%s %s HTTP/1.1\r\nHost: x\r\n" % (method, path)
            if body is not None:
                head += "Content-Length: %d\r\n" % len(text)
            writer.write(head.encode() + b"\r\n" + text)
            answer = await asyncio.wait_for(reader.read(), 1.0)
            status = int(answer.split()[1])
            if path != "/ops/readiness":
                self.rig.record("console", self.name, method, path, text.decode(), "->", status)
            return status, answer.split(b"\r\n\r\n", 1)[1].decode()
        finally:
            writer.close()

    def signal(self, number, process=None):
        self.rig.record("gateway", self.name, "gets", signal.Signals(number).name)
        (process or self.process).send_signal(number)


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


# -------------------------------------------------------------------------------------------------------------- clients

def thrift_string(data):
    data = data if isinstance(data, bytes) else data.encode()
    return struct.pack(">i", len(data)) + data


def thrift_map(fields):
    out = struct.pack(">bbi", 11, 11, len(fields))
    for name, value in fields.items():
        out += thrift_string(name) + thrift_string(value)
    return out


def frame(content):
    return struct.pack(">i", len(content)) + content


def serve_message(seq, fields, body=b""):
    content = struct.pack(">I", 0x80010001) + thrift_string("serve") + struct.pack(">i", seq)
    content += struct.pack(">bh", 13, 1) + thrift_map(fields) + struct.pack(">bh", 11, 2) + thrift_string(body) + b"\0"
    return frame(content)


def forget_message(seq, target):
    content = struct.pack(">I", 0x80010004) + thrift_string("forget") + struct.pack(">i", seq)
    return frame(content + struct.pack(">bhi", 8, 1, target) + b"\0")


def well_message(seq):
    content = struct.pack(">I", 0x80010001) + thrift_string("isWell") + struct.pack(">i", seq)
    return frame(content + struct.pack(">bhb", 2, 1, 1) + b"\0")


class Cursor:
    def __init__(self, data):
        self.data, self.at = data, 0

    def take(self, form):
        values = struct.unpack_from(">" + form, self.data, self.at)
        self.at += struct.calcsize(">" + form)
        return values[0] if len(values) == 1 else values

    def string(self):
        length = self.take("i")
        self.at += length
        return self.data[self.at - length:self.at]

    def map(self):
        self.take("bb")
        return {self.string().decode(): self.string().decode() for _ in range(self.take("i"))}

    def struct(self):
        fields = {}
        while True:
            kind = self.take("b")
            if kind == 0:
                return fields
            number = self.take("h")
            if kind == 11:
                fields[number] = self.string()
            elif kind == 13:
                fields[number] = self.map()
            elif kind == 12:
                fields[number] = self.struct()
            elif kind == 2:
                fields[number] = bool(self.take("b"))
            elif kind == 8:
                fields[number] = self.take("i")
            else:
                raise ValueError("type %d" % kind)


def parse_answer(content):
    """The sequence number, the word and the parts of an answer."""
    cursor = Cursor(content)
    head, name, seq = cursor.take("I"), cursor.string(), cursor.take("i")
    fields = cursor.struct()
    if head & 0xff == 3:
        return seq, "failed", {}, fields.get(1, b"")
    if 0 in fields:
        answer = fields[0]
        return seq, "served" if answer.get(3) else "bad", answer.get(2, {}), answer.get(1, b"")
    if 1 in fields:
        return seq, "refused", fields[1].get(1, {}), b""
    return seq, "failed", {}, b""


class SlowClient:
    """A sound client at the end of a slow line: it reads so many bytes a second, and its window is small."""

    def __init__(self, rig, name, address, bytes_per_s):
        self.rig, self.name, self.address, self.rate = rig, name, address, bytes_per_s
        self.seq, self.open, self.answers = 0, {}, {}
        self.end = None         # how the connection ended
        self.begun = None       # whether part of an answer has come that is not whole
        self.changed = asyncio.Event()

    async def connect(self):
        host, port = self.address.split(":")
        self.socket = socket.socket()
        if self.rate:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        self.socket.setblocking(False)
        await asyncio.get_running_loop().sock_connect(self.socket, (host, int(port)))
        self.task = asyncio.ensure_future(self.read())
        return self

    async def write(self, data):
        await asyncio.get_running_loop().sock_sendall(self.socket, data)

    async def send(self, op, ttl, thing, family=0):
        self.seq += 1
        call = "%016x" % random.getrandbits(64)
        self.open[self.seq] = (op, call, now(), ttl)
        self.rig.record(self.name, "asks", self.seq, op, call, thing, "ttl", ttl)
        await self.write(serve_message(self.seq, {"op": op, "call": call, "ttl": str(ttl), "row": thing, "block": "0",
                                                  "family": str(family)}))

    async def forget(self, target):
        """It stops waiting for that request: no answer is owed any more."""
        self.open.pop(target, None)
        self.seq += 1
        self.rig.record(self.name, "forgets", target)
        await self.write(forget_message(self.seq, target))

    async def read(self):
        loop, taken, buffer = asyncio.get_running_loop(), now(), bytearray()
        try:
            while True:
                data = await loop.sock_recv(self.socket, 16384)
                if not data:
                    self.end = "end of stream"
                    break
                buffer += data
                while len(buffer) >= 4 and len(buffer) >= 4 + struct.unpack(">i", buffer[:4])[0]:
                    length = struct.unpack(">i", buffer[:4])[0]
                    seq, word, fields, body = parse_answer(bytes(buffer[4:4 + length]))
                    del buffer[:4 + length]
                    self.open.pop(seq, None)
                    self.answers[seq] = (word, fields)
                    self.rig.record(self.name, "gets", seq, word, fields, len(body))
                    self.changed.set()
                if self.rate:
                    taken = max(taken + len(data) / self.rate, now() - 0.05)
                    await asyncio.sleep(max(0.0, taken - now()))
        except OSError as error:
            self.end = str(error)
        except asyncio.CancelledError:
            self.end = "closed by the client"
        self.begun = len(buffer) > 0
        self.rig.record(self.name, "connection ended:", self.end, "with", len(buffer), "bytes of an answer begun")
        self.changed.set()

    def close(self):
        self.task.cancel()
        self.socket.close()


class Client:
    """One connection of a sound client."""

    def __init__(self, rig, address):
        self.rig, self.address = rig, address
        self.seq = 0
        self.open = {}
        self.reader = self.writer = None
        self.ended = False

    async def connect(self):
        host, port = self.address.split(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.task = asyncio.ensure_future(self.read())
        return self

    async def read(self):
        try:
            while True:
                length = struct.unpack(">i", await self.reader.readexactly(4))[0]
                content = await self.reader.readexactly(length)
                seq, word, fields, body = parse_answer(content)
                future = self.open.pop(seq, None)
                if future and not future.done():
                    future.set_result((word, fields, body))
                elif future is None:
                    self.rig.unexpected.append((now(), seq, word))
                    self.rig.record("client got an answer to nothing", seq, word)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.ended = True
            for future in self.open.values():
                if not future.done():
                    future.set_result(("closed", {}, b""))
            self.open.clear()

    def send(self, op, ttl, thing, block=0, family=0, key=None, cached=None, call=None, body=b"", **more):
        self.seq += 1
        call = call or "%016x" % random.getrandbits(64)
        fields = {"op": op, "call": call, "ttl": str(ttl), "row": thing, "block": str(block), "family": str(family)}
        if key:
            fields["dedupe"] = key
        if cached:
            fields["cached"] = cached
        fields.update(more)
        future = asyncio.get_running_loop().create_future()
        self.open[self.seq] = future
        self.writer.write(serve_message(self.seq, fields, body))
        return self.seq, call, future

    async def ask(self, op, ttl, thing, **more):
        """Sends a request and waits for its answer: (word, fields, body, call)."""
        seq, call, future = self.send(op, ttl, thing, **more)
        self.rig.record("client asks", op, call, thing, "ttl", ttl)
        try:
            word, fields, body = await asyncio.wait_for(asyncio.shield(future), ttl / 1000.0 + 0.6)
        except asyncio.TimeoutError:
            self.open.pop(seq, None)
            word, fields, body = "never", {}, b""
        self.rig.record("client gets", word, call, fields, len(body))
        return word, fields, body, call

    def close(self):
        if self.writer:
            self.writer.close()


# ------------------------------------------------------------------------------------------------------------------ rig

class Rig:
    def __init__(self, record_path=None):
        self.folder = tempfile.mkdtemp(prefix="lw-")
        self.record = Record(record_path)
        self.processes = []
        self.unexpected = []
        self.world = World(self.record)
        self.world.never_kept = {"bid-submit"}
        self.world.fresh = {"history-files": 0.0, "bid-status": 8.0}
        self.stores = self.world.stores
        self.bulletin = Bulletin(self.world)

    async def store(self, name, kind, **more):
        store = Store(self.world, name, kind, **more)
        store.peers = self.stores
        self.stores[name] = store
        if kind == "origin":
            self.world.origin = store
        return await store.start()

    async def usual(self, caches=4):
        """Some caches, two parents, an origin, and the bulletin with their list."""
        for n in range(caches):
            await self.store("s-00c0%04x" % n, "cache")
        await self.store("s-00a00000", "parent", zone="east", share=40)
        await self.store("s-00a00001", "parent", zone="west", share=40)
        await self.store("s-00b00000", "origin", zone="east", share=80)
        await self.bulletin.start()
        self.bulletin.roster([s.entry() for s in self.stores.values()], whole=True)

    def gateway(self, name="n1", index=0):
        return Gateway(self, name, "127.0.0.1:%d" % free_port(), "127.0.0.1:%d" % free_port(), self.folder, index)

    async def many_objects(self, address, count, rate, size=2000):
        """Ordinary traffic: so many requests, each for an object never asked for before; tells how they ended."""
        for store in self.stores.values():
            store.work, store.fill_time, store.size = 0.002, 0.002, size
        self.record("ordinary traffic:", count, "requests for new objects at", rate, "a second")
        clients = [await Client(self, address).connect() for _ in range(16)]
        begun, ends, numbers = now(), {}, iter(range(count))

        async def ask(client):
            for number in numbers:
                await asyncio.sleep(max(0.0, begun + number / rate - now()))
                word, *_ = await client.ask(("history-files", "bid-status")[number % 2], 2500,
                                            "%016x" % random.getrandbits(64), family=number % 256)
                ends[word] = ends.get(word, 0) + 1
        await asyncio.gather(*[ask(client) for client in clients for _ in range(8)])
        for client in clients:
            client.close()
        self.record("ordinary traffic ended:", ends)
        return ends

    async def end(self):
        for process in self.processes:
            if process.returncode is None:
                try:
                    process.kill()
                except ProcessLookupError:
                    pass
                await process.wait()
        for store in self.stores.values():
            await store.stop()
        await self.bulletin.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case, record_path=None, limit=110.0):
    """Runs a case: a coroutine of a rig that returns what broke the rule, or an empty list."""
    async def play():
        # Told to stop, it still ends all that it has started.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        rig = Rig(record_path)
        try:
            broken = await asyncio.wait_for(case(rig), limit)
        finally:
            if os.environ.get("KEEP_LOG"):
                os.system("cat %s/log-* >&2" % rig.folder)
            await rig.end()
        for line in broken:
            rig.record("BROKEN", line)
            print("broken:", line)
        return 1 if broken else 0

    try:
        code = asyncio.run(play())
    except BaseException as error:  # noqa: BLE001 - whatever it is, the case could not run
        traceback.print_exc()
        print("could not run:", repr(error))
        code = 2
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    sys.exit(code)
