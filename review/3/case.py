"""A store is taken out by hand while the gateway's program is replaced: does it stay out over the upgrade?"""
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from rig import *  # noqa: E402,F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NOTICE = 1.0 + 0.05     # the rule on drains: 1 s, and "every time limit is 50 ms longer"


async def case(rig):
    await rig.usual()
    gateway = rig.gateway()
    gateway.write(settings(), rig.bulletin.address, rig.bulletin.known())
    await gateway.start()
    if not await gateway.ready():
        raise RuntimeError("the gateway is not ready")
    # 900 requests a second: on one day, two gateways get up to 950.
    await rig.many_objects(gateway.listen, 18_000, 900)

    old, old_console = gateway.process, gateway.console
    store = sorted(s.name for s in rig.stores.values() if s.kind == "cache")[1]
    begun = now()
    new_console = None

    async def upgrade():
        """The platform: starts the program again, asks each half second for its yes, then ends the old process."""
        gateway.write(settings(), rig.bulletin.address, rig.bulletin.known())
        await gateway.start(console=new_console)
        for step in range(1, 13):
            await asyncio.sleep(begun + 0.5 * step - now())
            try:
                status, _ = await gateway.call("GET", "/ops/readiness", console=new_console)
            except (OSError, asyncio.TimeoutError):
                status = None
            rig.record("the platform asks the new process whether it can serve:", status)
            if status == 200:
                gateway.signal(signal.SIGTERM, old)
                asyncio.get_running_loop().call_later(3.7 + 0.1, lambda: old.returncode is None and old.kill())
                return
        raise RuntimeError("the new process is not ready within 6 s")

    asked, told, until = set(), None, begun + 60.0

    async def ask(number):
        """Ordinary traffic, before, during and after the upgrade: a new connection where the last one has ended."""
        client = None
        while now() < until:
            if client is None or client.ended:
                try:
                    client = await Client(rig, gateway.listen).connect()
                except OSError:
                    await asyncio.sleep(0.05)
                    continue
            # Only what the client itself sends later than the rule's time: the gateway's first byte comes later still.
            late = told is not None and now() > told + NOTICE
            *_, call = await client.ask("history-files", 3000, "%016x" % random.getrandbits(64), family=number)
            if late:
                asked.add(call)
            await asyncio.sleep(0.05)

    traffic = asyncio.gather(*[ask(number) for number in range(8)])
    if TROUBLE:
        new_console = "127.0.0.1:%d" % free_port()
        upgrading = asyncio.ensure_future(upgrade())
    await asyncio.sleep(begun + 1.8 - now())
    try:
        status, _ = await gateway.call("PUT", "/ops/stores/down", {"who": store}, console=old_console)
    except OSError:
        # The old process has gone already: the operator calls at the new address.
        status, _ = await gateway.call("PUT", "/ops/stores/down", {"who": store}, console=new_console)
    told = now()
    until = told + 8.0
    if status != 200:
        raise RuntimeError("the operator got no yes: %d" % status)
    if TROUBLE:
        await upgrading

    await traffic
    if TROUBLE:
        rig.record("the old process's exit:", old.returncode)
    sent = [(at - told, other.name, call, fields.get("miss"))
            for other in rig.stores.values() for at, call, fields in other.arrivals
            if call in asked and store in (other.name, fields.get("miss"))]
    for late, name, call, source in sorted(sent)[:5]:
        rig.record("sent %.3f s after the yes:" % late, call, "to", name, "filled from", source)
    rig.record(len(sent), "requests to", store, "or filled from it later than", NOTICE, "s after the yes")
    if not sent:
        return []
    return ["%d requests went to %s or named it as their source from %.2f to %.2f s after the yes"
            % (len(sent), store, min(sent)[0], max(sent)[0])]


main(case, "record.txt")
