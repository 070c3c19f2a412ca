"""The bulletin goes down in order, with a purge as its last word: are purged copies answered while it is away?"""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from rig import *  # noqa: E402,F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DOWN = 8.0              # "discovery is down for 8 s"
NOTICE = 0.3 + 0.05     # `familyInfo.noticeTimeMs`, and "every time limit is 50 ms longer"
OBJECTS = 40
GROUP = 17


class ChunkedBulletin(Bulletin):
    """A bulletin that answers by HTTP/1.1 with `Transfer-Encoding: chunked`, and ends its responses in order."""

    @staticmethod
    def chunk(text):
        return b"%x\r\n%s\r\n" % (len(text), text)

    @staticmethod
    def event_text(event):
        return b"id: %d\ndata: %s\n\n" % (event["no"], json.dumps(event).encode())

    def send(self, writer, event):
        if not writer.is_closing():
            self.sent.setdefault(event["no"], now())
            writer.write(self.chunk(self.event_text(event)))

    async def serve(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            last = next(int(line.split(":")[1]) for line in head.decode().split("\r\n")
                        if line.lower().startswith("last-event-id:"))
            self.world.record("bulletin called", last)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
            for event in self.events[last:]:
                self.send(writer, event)
            self.writers.add(writer)
            while not writer.is_closing():
                writer.write(self.chunk(b": alive\n"))
                await asyncio.sleep(1.0)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def go_down(self, last_event):
        """Listens no more, and ends each response: what is to be told yet, then the last chunk."""
        self.server.close()
        self.server = None
        for writer in list(self.writers):
            self.writers.discard(writer)
            self.sent.setdefault(last_event["no"], now())
            writer.write(self.chunk(self.event_text(last_event)) + b"0\r\n\r\n")
            writer.close()


async def case(rig):
    rig.bulletin = ChunkedBulletin(rig.world)
    await rig.usual()
    gateway = rig.gateway()
    gateway.write(settings(), rig.bulletin.address, rig.bulletin.known())
    await gateway.start()
    if not await gateway.ready():
        raise RuntimeError("the gateway is not ready")
    things = ["%016x" % (0x900 + number) for number in range(OBJECTS)]
    rig.world.group_of.update((thing, GROUP) for thing in things)
    client = await Client(rig, gateway.listen).connect()
    for _ in range(2):
        for thing in things:
            await client.ask("history-files", 3000, thing, family=GROUP)
    await asyncio.sleep(1.0)

    port = int(rig.bulletin.address.split(":")[1])
    writers = rig.bulletin.writers
    if TROUBLE:
        rig.bulletin.writers = set()
    number = rig.bulletin.purge_group(GROUP)
    if TROUBLE:
        rig.bulletin.writers = writers
        await rig.bulletin.go_down(rig.bulletin.events[number - 1])
        rig.record("the bulletin has told the purge, ended its response in order, and is down")
    told = rig.bulletin.sent[number]

    stale, fresh = [], 0
    while now() < told + 7.0:
        for thing in things:
            asked = now()
            word, fields, body, call = await client.ask("history-files", 3000, thing, family=GROUP)
            if word == "served" and asked > told + NOTICE:
                version = body.split(b"|", 4)[3]
                if version == b"0.0":
                    stale.append((asked - told, call))
                else:
                    fresh += 1
        await asyncio.sleep(0.3)
    if TROUBLE:
        await asyncio.sleep(told + DOWN - now())
        await rig.bulletin.start(port)
        rig.record("the bulletin is back")
        await asyncio.sleep(1.0)
        for thing in things[:5]:
            await client.ask("history-files", 3000, thing, family=GROUP)
    rig.record(len(stale), "answers from copies older than the purge, and", fresh, "newer ones, to requests sent later "
               "than", NOTICE, "s after it was told")
    if not stale:
        return []
    return ["%d answers came from copies older than the purge, to requests sent %.2f to %.2f s after it was told; the "
            "first is %s" % (len(stale), min(stale)[0], max(stale)[0], min(stale)[1])]


main(case, "record.txt")
