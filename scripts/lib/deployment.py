"""The two deployments used by the demo and the process tests."""

import dataclasses

NODE_CALLER_PORT = 7000
NODE_MESH_PORT = 7001
NODE_OPERATOR_PORT = 7002
UPSTREAM_PORT = 7003

UPSTREAM_SLOTS = 12

SERVICE_TIMEOUT_MS = 2000
DOWNLOAD_TIMEOUT_MS = 60000  # includes the transfer of the response body


@dataclasses.dataclass(frozen=True)
class Deployment:
    name: str
    zones: tuple
    services: tuple  # (service, number of upstreams)
    connections: int
    downloads: str  # name of the service with long responses


DEPLOYMENTS = {
    "reelkade": Deployment(
        "reelkade",
        ("lk-west-a", "lk-west-b", "lk-west-c"),
        (("schedule-desk", 5), ("booking-ledger", 3), ("reel-vault", 3)),
        110,
        "reel-vault",
    ),
    "ekwueme": Deployment(
        "ekwueme",
        ("lagos-a", "lagos-b", "lagos-c"),
        (("catalogue", 5), ("orders", 4), ("drafts", 3)),
        120,
        "drafts",
    ),
}


@dataclasses.dataclass(frozen=True)
class Host:
    """A host that runs one upstream and its node."""

    name: str
    zone: str
    service: str
    upstream: str
    ip: str

    @property
    def caller(self):
        return f"{self.ip}:{NODE_CALLER_PORT}"

    @property
    def mesh(self):
        return f"{self.ip}:{NODE_MESH_PORT}"

    @property
    def operator(self):
        return f"{self.ip}:{NODE_OPERATOR_PORT}"

    @property
    def address(self):
        return f"{self.ip}:{UPSTREAM_PORT}"


def make_hosts(deployment, ip_prefix, copies=1):
    """Return hosts with their upstreams distributed round-robin over zones."""
    hosts = []
    for _ in range(copies):
        for service, count in deployment.services:
            for _ in range(count):
                number = sum(h.service == service for h in hosts) + 1
                index = len(hosts)
                hosts.append(
                    Host(
                        name=f"host-{service}-{number}",
                        zone=deployment.zones[index % len(deployment.zones)],
                        service=service,
                        upstream=f"{service}-{number}",
                        ip=f"{ip_prefix}.{index + 2}",
                    )
                )
    return hosts


def authority(service):
    return f"{service}.example"


def zone_record(zone, state):
    return {"schema": 2, "kind": "zone", "name": zone, "state": state}


def host_record(host, state="in"):
    return {
        "schema": 2,
        "kind": "host",
        "name": host.name,
        "zone": host.zone,
        "node": host.mesh,
        "state": state,
    }


def service_record(service, timeout_ms=SERVICE_TIMEOUT_MS,
                   idempotent_retries=1):
    return {
        "schema": 2,
        "kind": "service",
        "name": service,
        "timeout_ms": timeout_ms,
        "idempotent_retries": idempotent_retries,
    }


def upstream_record(host, connections):
    return {
        "schema": 2,
        "kind": "upstream",
        "name": host.upstream,
        "service": host.service,
        "host": host.name,
        "address": host.address,
        "slots": UPSTREAM_SLOTS,
        "connections": connections,
    }


def route_record(name, service, route_authority=None, prefix=None):
    record = {"schema": 2, "kind": "route", "name": name, "service": service}
    if route_authority is not None:
        record["authority"] = route_authority
    if prefix is not None:
        record["prefix"] = prefix
    return record


def all_records(deployment, hosts):
    """Return all configuration records, each after those it refers to."""
    services = [service for service, _ in deployment.services]
    timeouts = {deployment.downloads: DOWNLOAD_TIMEOUT_MS}
    return (
        [zone_record(zone, "in") for zone in deployment.zones]
        + [host_record(host) for host in hosts]
        + [service_record(s, timeouts.get(s, SERVICE_TIMEOUT_MS))
           for s in services]
        + [upstream_record(host, deployment.connections) for host in hosts]
        + [route_record(s, s, authority(s)) for s in services]
    )


def node_settings(host, seeds, platform, deployment, overrides=None):
    """Return the contents of a node's INI file."""
    sections = {
        "node": {
            "host": host.name,
            "zone": host.zone,
            "caller_listen": host.caller,
            "mesh_listen": host.mesh,
            "operator_listen": host.operator,
            "seeds": ",".join(seeds),
            "caller_threads": 160,
        },
        "platform": {"url": f"http://{platform}"},
        "upstream": {"name": host.upstream, "address": host.address},
        "mesh": {},
        "guard": {"slots": UPSTREAM_SLOTS},
        "route": {},
        "log": {"level": "info"},
    }
    for section, values in (overrides or {}).items():
        sections.setdefault(section, {}).update(values)
    lines = []
    for section, values in sections.items():
        if not values:
            continue
        lines.append(f"[{section}]")
        lines += [f"{key}={value}" for key, value in values.items()]
        lines.append("")
    return "\n".join(lines)
