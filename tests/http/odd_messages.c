#include <glib.h>

#include "odd_messages.h"

#define WITH_NUL(text) text, sizeof(text) - 1

static const struct message responses[] = {
	{ OK END, 0, VALID_RESULT },
	{ "HTTP/1.0 200 OK\r\n" END, 0, VALID_RESULT },
	{ "HTTP/1.1 200\r\n" END, 0, VALID_RESULT },
	{ "HTTP/1.1 200 \r\n" END, 0, VALID_RESULT },
	{ "HTTP/1.1 200 \xe9t\xe9\r\n" END, 0, VALID_RESULT },
	{ "HTTP/1.1 200 OK\n"
	  "Content-Length: 2\n\nok",
	    0, VALID_RESULT },
	{ OK "a!#$%&'*+-.^_`|~9: b\r\n" END, 0, VALID_RESULT },
	{ OK "A:\r\nB:\t b \tc \xff\t\r\n" END, 0, VALID_RESULT },
	{ OK "content-LENGTH:2 \r\n\r\nok", 0, VALID_RESULT },
	{ OK "Transfer-Encoding: Chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 0,
	    VALID_RESULT },
	{ OK "Transfer-Encoding: chunked\r\n\r\n"
	     "1;a=\"b c\"\r\no\r\n01\r\nk\r\n000\r\nA: b\r\n\r\n",
	    0, VALID_RESULT },
	{ "HTTP/1.1 100 Continue\r\n\r\n" OK END, 0, VALID_RESULT },
	{ "HTTP/1.1 103 x\r\nLink: <a>\r\n\r\nHTTP/1.1 100 \r\n\r\n" OK END, 0,
	    VALID_RESULT },
	{ "HTTP/1.1 102 x\r\nContent-Length: 0\r\n\r\n" OK END, 0,
	    VALID_RESULT },
	{ "HTTP/1.1 204 x\r\n\r\n", 0, "head:204 message " },
	{ "HTTP/1.1 204 x\r\nContent-Length: 0\r\n\r\n", 0,
	    "head:204 message " },
	{ "HTTP/1.1 304 x\r\nContent-Length: 5\r\n\r\n", 0,
	    "head:304 message " },
	{ "HTTP/1.1 599 x\r\n" END, 0, "head:599 [ok] message " },
	/* Behind a message, bytes are none of its own. */
	{ "HTTP/1.1 304 x\r\nContent-Length: 5\r\n\r\nhello", 0,
	    "head:304 message " },

	/* Status lines. */
	{ "HTTP/1.1 000 OK\r\n" END, 0, "malformed " },
	{ "HTTP/1.1 099 OK\r\n" END, 0, "malformed " },
	{ "HTTP/1.1 600 OK\r\n" END, 0, "malformed " },
	{ "HTTP/1.1 999 OK\r\n" END, 0, "malformed " },
	{ "HTTP/1.1 20 OK\r\n" END, 0, "malformed " },
	{ "HTTP/1.1 0200 OK\r\n" END, 0, "malformed " },
	{ "HTTP/1.1 2000 OK\r\n" END, 0, "malformed " },
	{ "HTTP/1.1 2x0 OK\r\n" END, 0, "malformed " },
	{ "HTTP/1.1 -20 OK\r\n" END, 0, "malformed " },
	{ "HTTP/1.1  200 OK\r\n" END, 0, "malformed " },
	{ "HTTP/1.1\t200 OK\r\n" END, 0, "malformed " },
	{ "HTTP/1.1 200\tOK\r\n" END, 0, "malformed " },
	{ "HTTP/1.1 OK\r\n" END, 0, "malformed " },
	{ "HTTP/1.1\r\n" END, 0, "malformed " },
	{ "HTTP/2.0 200 OK\r\n" END, 0, "malformed " },
	{ "HTTP/0.9 200 OK\r\n" END, 0, "malformed " },
	{ "HTTP/11.1 200 OK\r\n" END, 0, "malformed " },
	{ "HTTP/1.11 200 OK\r\n" END, 0, "malformed " },
	{ "http/1.1 200 OK\r\n" END, 0, "malformed " },
	{ "ICY 200 OK\r\n" END, 0, "malformed " },
	{ " HTTP/1.1 200 OK\r\n" END, 0, "malformed " },
	{ "\r\n" OK END, 0, "malformed " },
	{ "GET / HTTP/1.1\r\n\r\n", 0, "malformed " },
	{ "HTTP/1.1 200 a\x01"
	  "b\r\n" END,
	    0, "malformed " },
	{ WITH_NUL("HTTP/1.1 200 a\0b\r\n" END), "malformed " },
	{ "HTTP/1.1 200 a\rb\r\n" END, 0, "malformed " },
	{ "HTTP/1.1 101 x\r\n\r\n", 0, "malformed " },
	{ "HTTP/1.1 101 x\r\nConnection: upgrade\r\nUpgrade: a\r\n" END, 0,
	    "malformed " },

	/* Fields. */
	{ OK "A : b\r\n" END, 0, "malformed " },
	{ OK " A: b\r\n" END, 0, "malformed " },
	{ OK "A: b\r\n c\r\n" END, 0, "malformed " },
	{ OK "A b: c\r\n" END, 0, "malformed " },
	{ OK "A\tb: c\r\n" END, 0, "malformed " },
	{ OK "A\x01: b\r\n" END, 0, "malformed " },
	{ OK "A\x7f: b\r\n" END, 0, "malformed " },
	{ OK "\xe9: b\r\n" END, 0, "malformed " },
	{ WITH_NUL(OK "A\0: b\r\n" END), "malformed " },
	{ OK ": b\r\n" END, 0, "malformed " },
	{ OK "A\r\n" END, 0, "malformed " },
	{ OK "(A): b\r\n" END, 0, "malformed " },
	{ OK "A/b: c\r\n" END, 0, "malformed " },
	{ OK "A: b\x01\r\n" END, 0, "malformed " },
	{ OK "A: b\x7f\r\n" END, 0, "malformed " },
	{ WITH_NUL(OK "A: b\0c\r\n" END), "malformed " },
	{ OK "A: b\rc\r\n" END, 0, "malformed " },
	{ OK "A: b\r\r\n" END, 0, "malformed " },
	{ OK "Content-Length : 2\r\n\r\nok", 0, "malformed " },

	/* Framing. */
	{ OK "Content-Length: 2\r\n" END, 0, "malformed " },
	{ OK "Content-Length: 3\r\n" END, 0, "malformed " },
	{ OK "Content-Length: 2, 2\r\n\r\nok", 0, "malformed " },
	{ OK "Content-Length: +2\r\n\r\nok", 0, "malformed " },
	{ OK "Content-Length: -2\r\n\r\nok", 0, "malformed " },
	{ OK "Content-Length: 0x2\r\n\r\nok", 0, "malformed " },
	{ OK "Content-Length: 2 2\r\n\r\nok", 0, "malformed " },
	{ OK "Content-Length:\r\n\r\nok", 0, "malformed " },
	{ OK "Content-Length: 99999999999999999999\r\n\r\nok", 0,
	    "malformed " },
	{ OK "Transfer-Encoding: chunked\r\n" END, 0, "malformed " },
	{ OK "Transfer-Encoding: gzip\r\n\r\nok", 0, "malformed " },
	{ OK "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 0,
	    "malformed " },
	{ OK "Transfer-Encoding: chunked\r\nTransfer-Encoding: "
	     "chunked\r\n\r\n0\r\n\r\n",
	    0, "malformed " },
	{ OK "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 0, "malformed " },
	{ "HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\nno" OK END, 0,
	    "malformed " },
	{ "HTTP/1.1 103 x\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "2\r\nno\r\n0\r\n\r\n" OK END,
	    0, "malformed " },
	{ "HTTP/1.1 204 x\r\n" END, 0, "malformed " },
	{ "HTTP/1.1 204 x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 0,
	    "malformed " },
	{ "HTTP/1.1 103 x\r\nA : b\r\n\r\n" OK END, 0, "malformed " },
};

#define CHUNKED OK "Transfer-Encoding: chunked\r\n\r\n"

/* Chunked bodies: what is before the defect has been delivered. */
static const struct message chunked[] = {
	{ CHUNKED "2\r\nokXX0\r\n\r\n", 0, "head:200 [ok] malformed " },
	{ CHUNKED "2\r\nok\r\r0\r\n\r\n", 0, "head:200 [ok] malformed " },
	{ CHUNKED "2\nok\r\n0\r\n\r\n", 0, "head:200 malformed " },
	{ CHUNKED "2\rXok\r\n0\r\n\r\n", 0, "head:200 malformed " },
	{ CHUNKED "2\r\nok\r\n\r\n0\r\n\r\n", 0, "head:200 [ok] malformed " },
	{ CHUNKED "2\r\nok\r\n;a\r\n\r\n", 0, "head:200 [ok] malformed " },
	{ CHUNKED "-2\r\nok\r\n0\r\n\r\n", 0, "head:200 malformed " },
	{ CHUNKED "0x2\r\nok\r\n0\r\n\r\n", 0, "head:200 malformed " },
	{ CHUNKED " 2\r\nok\r\n0\r\n\r\n", 0, "head:200 malformed " },
	{ CHUNKED "2;\x01\r\nok\r\n0\r\n\r\n", 0, "head:200 malformed " },
	{ CHUNKED "2\r\nok\r\n0\r\nA : b\r\n\r\n", 0,
	    "head:200 [ok] malformed " },
	{ CHUNKED "2\r\nok\r\n0\r\nA\r\n\r\n", 0, "head:200 [ok] malformed " },
	{ CHUNKED "fffffffffffffffff\r\nok", 0, "head:200 malformed " },
};

#define HOST "Host: a\r\n\r\n"

static const struct message requests[] = {
	{ "GET /a HTTP/1.1\r\n" HOST, 0, "head:0 message " },
	{ "\r\n\r\nGET /a HTTP/1.0\r\n" HOST, 0, "head:0 message " },
	{ "GET /\xc3\xa9 HTTP/1.1\r\n" HOST, 0, "head:0 message " },
	{ "POST /a HTTP/1.1\r\n" END, 0, "head:0 [ok] message " },
	{ "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "2\r\nok\r\n0\r\n\r\n",
	    0, "head:0 [ok] message " },
	{ "GET /a HTTP/1.1\r\nA : b\r\n" HOST, 0, "malformed " },
	{ "GET /a HTTP/1.1\r\nA\x01: b\r\n" HOST, 0, "malformed " },
	{ "GET /a HTTP/1.1\r\nA: b\x01\r\n" HOST, 0, "malformed " },
	{ "GET /a HTTP/1.1\r\nA: b\r\n c\r\n" HOST, 0, "malformed " },
	{ "GET  /a HTTP/1.1\r\n" HOST, 0, "malformed " },
	{ "GET /a  HTTP/1.1\r\n" HOST, 0, "malformed " },
	{ "GET /a b HTTP/1.1\r\n" HOST, 0, "malformed " },
	{ "GET /a\x01 HTTP/1.1\r\n" HOST, 0, "malformed " },
	{ "GET /a HTTP/2.0\r\n" HOST, 0, "malformed " },
	{ "GET /a HTTP/0.9\r\n" HOST, 0, "malformed " },
	{ "GET /a\r\n" HOST, 0, "malformed " },
	{ "POST /a HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\nok", 0,
	    "malformed " },
	{ "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n" END, 0,
	    "malformed " },
	{ "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "2\r\nokXX0\r\n\r\n",
	    0, "head:0 [ok] malformed " },
};

const struct message_list odd_responses = { responses,
	G_N_ELEMENTS(responses) };

const struct message_list odd_chunked = { chunked, G_N_ELEMENTS(chunked) };

const struct message_list odd_requests = { requests, G_N_ELEMENTS(requests) };
