"""Clients that read slowly at a gateway whose memory is limited: does it stay within the limit?"""
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from rig import *  # noqa: E402,F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MB = 32          # "32 to 192 MB by language and day"
SOCKETS = 256           # "256 to 1,024 descriptors"
LIMIT = MEMORY_MB * 1024 * 1024     # the larger reading of MB
CLIENTS = 40            # under a third of the descriptors
OPEN = 32               # "at most 32 requests may be open on one connection"
READS = 400_000         # bytes a second for each: "some clients read 1 MB a second at most"
SIZE = 240_000          # "at most 240,000"
RATE = 170              # "up to 170 requests a second"


def private_bytes(pid):
    """The private memory of a process: neither files nor what the system keeps for its sockets."""
    for line in open("/proc/%d/status" % pid):
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) * 1024
    return 0


async def case(rig):
    await rig.usual()
    gateway = rig.gateway()
    gateway.write(settings(), rig.bulletin.address, rig.bulletin.known(),
                  limits={"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS})
    await gateway.start()
    if not await gateway.ready():
        raise RuntimeError("the gateway is not ready")
    most, over = [0], []

    async def watch():
        while gateway.process.returncode is None:
            used = private_bytes(gateway.process.pid)
            if used > most[0] + 1_000_000:
                rig.record("private memory", used)
            most[0] = max(most[0], used)
            if used > LIMIT and not over:
                # As the platform does it.
                waiting = sum(len(client.open) for client in clients)
                over.append("%d bytes of private memory with a limit of %d: killed, with %d requests not answered"
                            % (used, LIMIT, waiting))
                gateway.signal(signal.SIGKILL)
                return
            await asyncio.sleep(0.02)

    clients = []
    watching = asyncio.ensure_future(watch())
    # 900 requests a second: on one day, two gateways get up to 950.
    await rig.many_objects(gateway.listen, 27_000, 900)
    rig.record("private memory after ordinary traffic:", private_bytes(gateway.process.pid))
    for store in rig.stores.values():
        store.work, store.fill_time, store.size = 0.05, 0.02, SIZE

    async def ask(client):
        """Asks as often as its part of the rate allows, and stays away for as long as it is told to."""
        due, ended, away = now() + random.random() * CLIENTS / RATE, 0, 0.0
        while client.end is None and not over:
            if len(client.answers) > ended:
                for word, fields in list(client.answers.values())[ended:]:
                    if word == "refused":
                        away = now() + int(fields.get("pushback", "200")) / 1000.0
                ended = len(client.answers)
            if len(client.open) < OPEN and now() >= max(due, away):
                due = max(due + CLIENTS / RATE, now() - 0.5)
                try:
                    await client.send("history-files", 6000, "%016x" % (0x5000 + random.randrange(3000)), family=1)
                except OSError:
                    return
            await asyncio.sleep(0.02)

    rig.record(CLIENTS, "clients that read", READS if TROUBLE else "as fast as they can")
    for number in range(CLIENTS):
        client = SlowClient(rig, "client %d" % number, gateway.listen, READS if TROUBLE else None)
        clients.append(await client.connect())
    rig.record.quiet = False
    asking = [asyncio.ensure_future(ask(client)) for client in clients]
    until = now() + 30.0
    while now() < until and not over and gateway.process.returncode is None:
        await asyncio.sleep(0.1)
    for task in asking + [watching]:
        task.cancel()
    words = {}
    for client in clients:
        for word, _ in client.answers.values():
            words[word] = words.get(word, 0) + 1
        client.close()
    rig.record("most private memory:", most[0], "limit:", LIMIT, "answers:", words)
    print("most private memory: %.1f MB, limit: %.1f MB, answers: %s" % (most[0] / 1e6, LIMIT / 1e6, words))
    return over


main(case, "record.txt")
