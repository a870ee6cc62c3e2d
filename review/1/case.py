"""A backend rejects an order whose body is over 64 KiB; see claim.txt."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins  # noqa: E402

LOST_MAX = 3  # by the rule, on one machine
ORDER_BYTES = 100 * 1000
ORDERS = 30
READERS = 12
SHED_SHARE = 0.45
SHED_S = 6.5


async def read_specs(client, answers):
    while True:
        answers.append(await client.send("GET", "/spec/2f"))
        if client.writer is None:
            await asyncio.sleep(0.1)


async def place_orders(client, answers):
    for _ in range(ORDERS):
        request = client.next_id()
        answers.append(await client.send(
            "POST", "/order/2f", standins.body_of(request, ORDER_BYTES),
            2500, request))
        await asyncio.sleep(0.2)


async def play(deployment, trouble):
    machine = deployment.machines[0]
    backends = {b.id: b for b in deployment.backends}
    grey = next(b for b in deployment.backends if b.service == "orders")
    specs, orders = [], []
    readers = [asyncio.create_task(
        read_specs(standins.Client(deployment, machine), specs))
        for _ in range(READERS)]
    await asyncio.sleep(1)
    if trouble:
        grey.shed_share = SHED_SHARE
        asyncio.get_running_loop().call_later(
            SHED_S, setattr, grey, "shed_share", 0.0)
    await place_orders(standins.Client(deployment, machine), orders)
    for reader in readers:
        reader.cancel()
    # Reads that a sound backend ran, on a kept connection that was closed.
    lost = [request for request, answer, kept in specs
            if kept and "connection ended" in answer.failure and
            any(backends[name].service == "catalogue"
                for _, name in deployment.record.runs[request])]
    placed = sum(answer.status == 200 for _, answer, _ in orders)
    changed = deployment.record.changed
    print(f"{len(changed)} of {len(orders)} orders ran with another body "
          f"than was sent; {placed} placed; the node ended by itself with "
          f"{machine.ends}, which cost {len(lost)} reads, "
          f"{LOST_MAX} allowed")
    return not changed


if __name__ == "__main__":
    sys.exit(standins.main(
        play,
        [("lagos-ikeja", "catalogue"), ("lagos-lekki", "catalogue"),
         ("lagos-ikeja", "orders"), ("lagos-lekki", "orders"),
         ("lagos-yaba", "orders")],
        {"r-spec": standins.route("/spec/", "safe", "catalogue"),
         "r-order": standins.route("/order/", "unsafe", "orders", 1200, 1)}))
