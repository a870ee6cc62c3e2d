"""Entries of another writer among those of the upstreams: each field missing,
of another type or out of range, and bytes that can't be read."""

import copy
import json

DEEP = 100000
HUGE = "9" * 400
WRONG_TYPES = ("null", "true", "[]", "{}", '""', '"x"', "[[]]", "0.5", "-1",
               HUGE, "1e400", "-1e400", "1e-400", "18446744073709551616",
               "9223372036854775808", "[" * DEEP, '{"a":' * DEEP,
               '"\\u0000"', '"\\ud800"')
FIELDS = (("address",), ("born",), ("info",), ("info", "service"),
          ("info", "version"), ("info", "zone"), ("info", "slots"),
          ("status",), ("status", "state"), ("status", "seq"),
          ("status", "coldRemainingMs"))
PORTS = ("0", "-1", "65536", "99999", "4294967376", HUGE, "", "+80", " 80",
         "80x", "0x50", "8e1", "80:80")
MARK = "\x01here"


def encode(entry, text):
    """Return an entry as JSON in which a text stands for the mark."""
    return json.dumps(entry).replace(json.dumps(MARK), text).encode()


def wrong_fields(entry):
    """Yield (name, bytes) of the entry, each with one field that is missing or
    of another type."""
    for path in FIELDS:
        name = ".".join(path)
        for text in (None, *WRONG_TYPES):
            changed = copy.deepcopy(entry)
            table = changed[path[0]] if len(path) == 2 else changed
            table[path[-1]] = MARK
            if text is None:
                del table[path[-1]]
            elif path[-1] in ("service", "version", "zone") and text == '"x"':
                continue  # a string, as it should be
            if path[-1] == "born" and text is None:
                continue  # not all deployments have it
            if path[-1] == "coldRemainingMs" and text in ("0.5", "1e-400"):
                continue
            yield (f"{name}={str(text)[:12]}", encode(changed, text or ""))


def wrong_addresses(entry):
    host = entry["address"].split(":")[0]
    addresses = [f"{host}:{port}" for port in PORTS]
    addresses += [host, f":{80}", "localhost:80", "[::1]:80", f"{host}.1:80",
                  "256.1.1.1:80", "127.1:80", "a" * 100000, "0.0.0.0:80",
                  "127.255.255.255:80"]
    for address in addresses:
        yield (f"address={address[:24]}",
               json.dumps({**entry, "address": address}).encode())


def unreadable():
    texts = (b"", b"null", b"[]", b"0", b"\"x\"", b"{", b"}", b"\x00", b"\xff\xfe",
             b"\xef\xbb\xbf{}", b"{}" * 1000, b"[" * DEEP, b'{"a":' * DEEP,
             b'{"address":' + b"[" * DEEP + b"]" * DEEP + b"}",
             HUGE.encode(), b"x" * 700000, bytes(range(256)))
    for text in texts:
        yield f"bytes {text[:12]!r} ({len(text)})", text


def unknown_words(entry):
    """An entry of a state or of a service that isn't configured."""
    for state in ("READY", "ready ", "gone", "starting"):
        changed = copy.deepcopy(entry)
        changed["status"]["state"] = state
        yield f"state {state!r}", json.dumps(changed).encode()
    for service in ("nowhere", "Desk", "desk ", "d" * 100000):
        changed = copy.deepcopy(entry)
        changed["info"]["service"] = service
        yield f"service {service[:8]!r}", json.dumps(changed).encode()


def odd_values(entry):
    """Yield (name, bytes) of entries that name no upstream to use. entry is a
    valid one."""
    yield from unreadable()
    yield from wrong_fields(entry)
    yield from wrong_addresses(entry)
    yield from unknown_words(entry)


def odd_keys():
    """Keys that can't be an upstream's id in a header field."""
    return ("servers/", "servers/a b", "servers/a\r\nX-Expected-Instance: b",
            "servers/\u0000", "servers/a\u0000b", "servers/\u00e9" * 8,
            "servers/\x7f", "servers/\ud800", "servers/" + "k" * 190,
            "servers/a/b", "servers/\"", "servers/%00")
