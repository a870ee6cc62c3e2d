"""Answers of odd form: valid ones that are seldom seen, and others that are no
HTTP/1.1."""

from upstream import SIGNATURE, body_for

BODY_BYTES = 60
CONTROLS = [c for c in range(32) if c not in (9, 10, 13)] + [127]


def make(request, name, line="HTTP/1.1 200 OK", fields=(), framing=None,
         body=None, end=b"\r\n"):
    """Return an answer whose parts are as given, and else valid."""
    if body is None:
        body = body_for(request, BODY_BYTES)
    if framing is None:
        framing = [f"Content-Length: {len(body)}"]
    lines = [line, f"X-Attempt-Id: {request}", f"{SIGNATURE}: {name}.{request}",
             *fields, *framing]
    return end.join(text.encode("latin-1") for text in lines) + end * 2 + body


def chunked(request, name, body, fields=()):
    return make(request, name, fields=fields, body=body,
                framing=["Transfer-Encoding: chunked"])


def valid_answers(request, name):
    """Yield (form, bytes) of answers that must be passed on."""
    body = body_for(request, BODY_BYTES)
    interim = b"HTTP/1.1 100 Continue\r\n\r\n"
    hints = b"HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n"
    whole = make(request, name)
    yield "plain", whole
    yield "version 1.0", make(request, name, "HTTP/1.0 200 OK")
    yield "no reason", make(request, name, "HTTP/1.1 200")
    yield "blank reason", make(request, name, "HTTP/1.1 200 ")
    yield "odd reason", make(request, name, "HTTP/1.1 200 \xe9 (x)\ty")
    yield "line feeds", make(request, name, end=b"\n")
    yield "token name", make(request, name, fields=["a!#$%&'*+-.^_`|~9: b"])
    yield "empty value", make(request, name, fields=["A:", "B: \t "])
    yield "text beyond ASCII", make(request, name, fields=["A: \xff\t\x80"])
    yield "continue", interim + whole
    yield "hints", hints + interim + whole
    yield "chunks", chunked(request, name, b"%x\r\n%s\r\n0\r\n\r\n" % (
        len(body), body))
    yield "extension", chunked(request, name, b"%x;a=\"b\"\r\n%s\r\n00\r\n\r\n"
                               % (len(body), body))
    yield "trailer", chunked(request, name, b"%x\r\n%s\r\n0\r\nA: b\r\n\r\n" % (
        len(body), body))


def odd_heads(request, name):
    """Yield (form, bytes) of answers whose head is malformed."""
    for status in ("000", "001", "099", "600", "999", "20", "0200", "2000",
                   "2x0", "-20", "", " 200", "101"):
        yield f"status {status!r}", make(request, name,
                                         f"HTTP/1.1 {status} OK")
    for version in ("HTTP/2.0", "HTTP/0.9", "HTTP/1", "HTTP/1.10", "http/1.1",
                    "ICY", "HTTP 1.1", ""):
        yield f"version {version!r}", make(request, name, f"{version} 200 OK")
    for byte in CONTROLS + [32, 128, 255]:
        char = chr(byte)
        yield f"name with {byte}", make(request, name, fields=[f"A{char}B: c"])
        yield f"name and {byte}", make(request, name, fields=[f"A{char}: c"])
        yield f"length and {byte}", make(
            request, name,
            framing=[f"Content-Length{char}: {BODY_BYTES}"])
        if byte in CONTROLS:
            yield f"value with {byte}", make(request, name,
                                             fields=[f"A: b{char}c"])
            yield f"reason with {byte}", make(request, name,
                                              f"HTTP/1.1 200 a{char}b")
    for field in ("A", ": b", " A: b", "A: b\r\n c", "(A): b", "A\x0b: b",
                  "A: b\rC: d", "A/b: c", "A: b\r"):
        yield f"field {field!r}", make(request, name, fields=[field])


def odd_framings(request, name):
    """Yield (form, bytes) of answers whose framing is malformed."""
    body = body_for(request, BODY_BYTES)
    size = len(body)
    for framing in ([f"Content-Length: {size}"] * 2,
                    [f"Content-Length: {size}", "Content-Length: 1"],
                    [f"Content-Length: {size}, {size}"],
                    [f"Content-Length: +{size}"], ["Content-Length: 0x9"],
                    ["Content-Length:"], ["Content-Length: -1"],
                    ["Content-Length: " + "9" * 30],
                    ["Transfer-Encoding: gzip"],
                    ["Transfer-Encoding: chunked", f"Content-Length: {size}"],
                    ["Transfer-Encoding: gzip, chunked"],
                    ["Transfer-Encoding: xchunked"]):
        yield f"framing {framing}", make(request, name, framing=framing)
    for text in (b"%x\r\n%sXX0\r\n\r\n", b"%x\n%s\n0\n\n",
                 b"0x%x\r\n%s\r\n0\r\n\r\n", b"%x \x01\r\n%s\r\n0\r\n\r\n",
                 b"%x\r\n%s\r\n\r\n0\r\n\r\n", b"-%x\r\n%s\r\n0\r\n\r\n",
                 b"%x\r\n%s\r\n0\r\nA : b\r\n\r\n",
                 b"%x\r\n%s\r\n0\r\n\x01\r\n\r\n"):
        yield f"chunks {text!r}", chunked(request, name, text % (size, body))
    whole = make(request, name)
    for status in (100, 102, 103, 199):
        head = f"HTTP/1.1 {status} x\r\n".encode()
        yield f"{status} with a body", (
            head + b"Content-Length: 2\r\n\r\nno" + whole)
        yield f"{status} in chunks", (
            head + b"Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n" +
            whole)
    yield "101 alone", b"HTTP/1.1 101 x\r\nConnection: upgrade\r\n\r\n"
    yield "101, then an answer", (
        b"HTTP/1.1 101 x\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n" +
        whole)
    yield "interim with a blank name", (
        b"HTTP/1.1 103 x\r\nA : b\r\n\r\n" + whole)
    yield "204 with a body", make(request, name, "HTTP/1.1 204 x")
    yield "empty lines first", b"\r\n\r\n" + whole
    yield "a request", b"GET / HTTP/1.1\r\nHost: a\r\n\r\n" + whole
    yield "noise first", b"\x00\x01" + whole


def malformed_answers(request, name):
    """Yield (form, bytes) of answers that must never be passed on."""
    yield from odd_heads(request, name)
    yield from odd_framings(request, name)
