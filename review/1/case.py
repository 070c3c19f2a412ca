"""A planned restart while a client reads slowly: are all answered whose requests were taken before it?"""
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from rig import *  # noqa: E402,F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RATE = 1_000_000        # "Some clients read 1 MB a second at most"
REQUESTS = 16           # of the 32 that may be open on one connection
SIZE = 240_000          # "at most 240,000"


async def case(rig):
    await rig.usual()
    for store in rig.stores.values():
        store.work, store.fill_time, store.size = 0.01, 0.01, SIZE
    gateway = rig.gateway()
    gateway.write(settings(), rig.bulletin.address, rig.bulletin.known())
    await gateway.start()
    if not await gateway.ready():
        raise RuntimeError("the gateway is not ready")

    client = await SlowClient(rig, "slow client", gateway.listen, RATE).connect()
    begun = now()
    deadlines = {"bid-status": 2500, "history-files": 6000}
    for number in range(REQUESTS):
        op = ("bid-status", "history-files")[number % 2]
        await client.send(op, deadlines[op], "%016x" % (0x700 + number), family=1)
    owed = [seq for seq, (op, *_) in client.open.items() if op == "history-files"]

    await asyncio.sleep(0.4)
    if TROUBLE:
        gateway.signal(signal.SIGTERM)
        signalled = now()
    # The client stops waiting for what it has not got whole after the time that it said it would wait.
    await asyncio.sleep(begun + 2.5 - now())
    for seq, (op, *_) in list(client.open.items()):
        if op == "bid-status":
            try:
                await client.forget(seq)
            except OSError as error:
                rig.record("slow client cannot write:", error)
    # All bytes together take 3.9 s to read; SIGKILL comes no sooner than 3 s and 0.7 s after SIGTERM.
    until = begun + 10.0
    while now() < until and client.end is None and any(seq not in client.answers for seq in owed):
        if TROUBLE and now() > signalled + 3.7 + 0.1 and gateway.process.returncode is None:
            gateway.signal(signal.SIGKILL)
        client.changed.clear()
        try:
            await asyncio.wait_for(client.changed.wait(), 0.2)
        except asyncio.TimeoutError:
            pass
    missing = [seq for seq in owed if seq not in client.answers]
    rig.record("owed", len(owed), "answered", len(owed) - len(missing), "missing", missing, "gateway's exit",
               gateway.process.returncode)
    # An answer that was begun and cut off may count as failed: it is left out, to be lenient.
    lost = missing[1:] if client.begun else missing
    client.close()
    return ["request %d was taken before SIGTERM, and its connection ended (%s) with no answer" % (seq, client.end)
            for seq in lost]


main(case, "record.txt")
