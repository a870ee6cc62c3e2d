"""A node starts again while its backend's address changes hands; see
claim.txt."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins  # noqa: E402

KILL_AFTER_S = 0.5  # from the crash of the backend
REGISTER_AFTER_S = 0.8  # from the start of the next one
CLIENTS = 96
PAUSE_S = 0.4  # of a client, between requests
CALM_S = 6.0  # after each round


async def use(client, method, path):
    while True:
        await client.send(method, path)
        await asyncio.sleep(PAUSE_S)


async def hand_over(deployment, machine, service):
    """The backend crashes for good. Its address goes to another service once
    reuseAfterS has elapsed."""
    crashed_at = standins.now()
    machine.backend.crash()
    await asyncio.sleep(KILL_AFTER_S)
    machine.signal(signal.SIGKILL)
    await asyncio.sleep(
        crashed_at + standins.BOUNDS["reuseAfterS"] - standins.now())
    backend = deployment.new_backend(machine, service)
    await backend.start(registers=False)
    machine.service = service
    machine.write_settings()  # without a signal
    await asyncio.sleep(REGISTER_AFTER_S)
    backend.register()


def watch_runs(deployment):
    """Return the list of requests that another service than their route's
    has run, filled as they run."""
    services = {route["prefix"]: route["service"]
                for route in deployment.routes.values()}
    wrong = []

    def handle_run(request, message, backend):
        prefix = message.first[1].rsplit("/", 1)[0] + "/"
        if backend.service != services[prefix]:
            wrong.append((request, message.first[0], backend.service))

    deployment.handle_run = handle_run
    return wrong


async def play(deployment, trouble):
    wrong = watch_runs(deployment)
    clients = []
    for i in range(CLIENTS):
        client = standins.Client(
            deployment, deployment.machines[i % len(deployment.machines)])
        method, path = (("GET", "/spec/2f"), ("POST", "/order/2f"))[i // 6 % 2]
        clients.append(asyncio.create_task(use(client, method, path)))
    await asyncio.sleep(1)
    for pair, service in ((deployment.machines[:2], "orders"),
                          (deployment.machines[3:5], "catalogue"),
                          (deployment.machines[:2], "catalogue")):
        if trouble:
            await asyncio.gather(*(hand_over(deployment, machine, service)
                                   for machine in pair))
        await asyncio.sleep(CALM_S)
    for client in clients:
        client.cancel()
    orders = sum(method == "POST" for _, method, _ in wrong)
    print(f"{len(wrong)} requests run by a service to which no configuration "
          f"let them go, {orders} of these orders; "
          f"{len(deployment.record.runs)} run in all")
    return not wrong


if __name__ == "__main__":
    sys.exit(standins.main(
        play,
        [("lagos-ikeja", "catalogue"), ("lagos-lekki", "catalogue"),
         ("lagos-yaba", "catalogue"), ("lagos-ikeja", "orders"),
         ("lagos-lekki", "orders"), ("lagos-yaba", "orders")],
        {"r-spec": standins.route("/spec/", "safe", "catalogue"),
         "r-order": standins.route("/order/", "unsafe", "orders", 1200, 1)}))
