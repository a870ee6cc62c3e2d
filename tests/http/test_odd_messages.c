#include <string.h>

#include "common/rng.h"
#include "harness.h"
#include "http/stream_private.h"
#include "odd_messages.h"

/*
 * Guards against messages that aren't HTTP/1.1 and are taken for it: a status
 * that is none, a name with a blank or a control byte, a body that nobody
 * announced. Each message is also parsed in pieces, cut at any place.
 */
enum {
	RANDOM_CUTS = 40,
	MUTATIONS = 20000,
};

static const struct account_settings unlimited = {
	.limits = { ACCOUNT_UNLIMITED, ACCOUNT_UNLIMITED },
};

struct fixture {
	uv_loop_t loop;
	struct http_connections *connections;
	struct http_stream *stream;
	GString *log;
	bool in_body;
};

static void
end_body(struct fixture *f)
{
	if (f->in_body)
		g_string_append(f->log, "] ");
	f->in_body = false;
}

static void
handle_head(struct http_stream *stream)
{
	struct fixture *f = stream->owner;

	g_string_append_printf(f->log, "head:%u ", stream->head->status);
	for (size_t i = 0; i < stream->head->field_count; i++) {
		struct str name = http_head_name(stream->head, i);
		struct str value = http_head_value(stream->head, i);

		CU_ASSERT_TRUE(name.len > 0);
		for (size_t j = 0; j < name.len; j++)
			CU_ASSERT_TRUE(
			    g_ascii_isgraph(name.ptr[j]) && name.ptr[j] != ':');
		for (size_t j = 0; j < value.len; j++)
			CU_ASSERT_TRUE(value.ptr[j] == '\t' ||
			    !g_ascii_iscntrl(value.ptr[j]));
	}
}

static void
handle_body(struct http_stream *stream, struct str bytes)
{
	struct fixture *f = stream->owner;

	if (!f->in_body)
		g_string_append_c(f->log, '[');
	f->in_body = true;
	g_string_append_len(f->log, bytes.ptr, (gssize)bytes.len);
}

static void
handle_message(struct http_stream *stream)
{
	end_body(stream->owner);
	g_string_append(((struct fixture *)stream->owner)->log, "message ");
}

static void
handle_end(struct http_stream *stream, enum http_end_reason reason)
{
	struct fixture *f = stream->owner;

	end_body(f);
	g_string_append_printf(f->log, "%s ",
	    reason == HTTP_END_MALFORMED       ? "malformed"
		: reason == HTTP_END_TOO_LARGE ? "too_large"
					       : "end");
	http_stream_abort(stream);
	f->stream = NULL;
}

static const struct http_stream_ops ops = {
	.handle_head = handle_head,
	.handle_body = handle_body,
	.handle_message = handle_message,
	.handle_end = handle_end,
};

static void
fixture_init(struct fixture *f, enum http_side side)
{
	*f = (struct fixture){ .log = g_string_new(NULL) };
	uv_loop_init(&f->loop);
	f->connections = http_connections_new(
	    &f->loop, &unlimited, (struct http_connections_ops){ 0 });
	f->stream =
	    http_stream_new(f->connections, CONNECTION_CALLER, side, &ops, f);
}

static void
fixture_clear(struct fixture *f)
{
	if (f->stream != NULL)
		http_stream_abort(f->stream);
	http_connections_free(f->connections);
	uv_run(&f->loop, UV_RUN_DEFAULT);
	uv_loop_close(&f->loop);
	g_string_free(f->log, TRUE);
}

static void
feed(struct fixture *f, const char *bytes, size_t len)
{
	/* A copy of the exact size, for the sanitizer to see overreads. */
	char *copy = g_memdup2(bytes, len);

	if (f->stream != NULL && len > 0 && !f->stream->message_done)
		stream_parse(f->stream, copy, len);
	g_free(copy);
}

/* Return the callbacks for a message in three pieces, to be freed. */
static char *
parse(enum http_side side, struct str text, size_t first, size_t second)
{
	struct fixture f;
	char *log;

	fixture_init(&f, side);
	feed(&f, text.ptr, first);
	feed(&f, text.ptr + first, second - first);
	feed(&f, text.ptr + second, text.len - second);
	end_body(&f);
	log = g_strdup(f.log->str);
	fixture_clear(&f);
	return log;
}

static struct str
message_text(const struct message *message)
{
	return str_make(message->text,
	    message->len > 0 ? message->len : strlen(message->text));
}

static void
check_parse(enum http_side side, const struct message *message, size_t first,
    size_t second)
{
	struct str text = message_text(message);
	char *log = parse(side, text, first, second);

	if (strcmp(log, message->expected) != 0)
		printf("%.*s cut at %zu, %zu:\n  %s\n  expected %s\n",
		    STR_ARG(text), first, second, log, message->expected);
	CU_ASSERT_STRING_EQUAL(log, message->expected);
	g_free(log);
}

static void
check_messages(enum http_side side, const struct message_list *list)
{
	struct rng *rng = rng_seeded_new(1);

	for (size_t i = 0; i < list->count; i++) {
		size_t len = message_text(&list->messages[i]).len;

		for (size_t at = 0; at <= len; at++)
			check_parse(side, &list->messages[i], at, at);
		for (int j = 0; j < RANDOM_CUTS; j++) {
			size_t first = rng_below(rng, len + 1);

			check_parse(side, &list->messages[i], first,
			    first + rng_below(rng, len - first + 1));
		}
	}
	rng_free(rng);
}

static void
test_responses(void)
{
	check_messages(HTTP_SIDE_CLIENT, &odd_responses);
}

static void
test_chunked_bodies(void)
{
	check_messages(HTTP_SIDE_CLIENT, &odd_chunked);
}

static void
test_requests(void)
{
	check_messages(HTTP_SIDE_SERVER, &odd_requests);
}

/* Any byte but those of a token ends a name, or the message. */
static void
test_each_byte_of_a_name(void)
{
	for (int c = 0; c < 256; c++) {
		GString *text = g_string_new(OK "A");
		bool is_valid = c < 0x80 &&
		    (g_ascii_isalnum((char)c) ||
			(c != 0 && strchr("!#$%&'*+-.^_`|~:", c) != NULL));
		char *log;

		g_string_append_c(text, (char)c);
		g_string_append(text, "b: c\r\n" END);
		log = parse(HTTP_SIDE_CLIENT, str_make(text->str, text->len),
		    text->len, text->len);
		CU_ASSERT_STRING_EQUAL(
		    log, is_valid ? VALID_RESULT : "malformed ");
		g_free(log);
		g_string_free(text, TRUE);
	}
}

static const struct message *
draw_message(struct rng *rng, const struct message_list *list)
{
	return &list->messages[rng_below(rng, list->count)];
}

/* Random changes give the same callbacks however the bytes are cut. */
static void
test_cuts_of_mutations(void)
{
	struct rng *rng = rng_seeded_new(2);

	for (int i = 0; i < MUTATIONS; i++) {
		bool is_request = rng_below(rng, 3) == 0;
		const struct message *from = is_request
		    ? draw_message(rng, &odd_requests)
		    : draw_message(rng, &odd_responses);
		enum http_side side =
		    is_request ? HTTP_SIDE_SERVER : HTTP_SIDE_CLIENT;
		struct str text = message_text(from);
		char *bytes = g_memdup2(text.ptr, text.len);
		size_t at = rng_below(rng, text.len);
		size_t first = rng_below(rng, text.len + 1);
		char *whole, *cut;

		bytes[at] = (char)rng_below(rng, 256);
		whole =
		    parse(side, str_make(bytes, text.len), text.len, text.len);
		cut = parse(side, str_make(bytes, text.len), first,
		    first + rng_below(rng, text.len - first + 1));
		CU_ASSERT_STRING_EQUAL(whole, cut);
		g_free(whole);
		g_free(cut);
		g_free(bytes);
	}
	rng_free(rng);
}

static const struct test_case cases[] = {
	{ "responses", test_responses },
	{ "chunked bodies", test_chunked_bodies },
	{ "requests", test_requests },
	{ "each byte of a name", test_each_byte_of_a_name },
	{ "cuts of mutations", test_cuts_of_mutations },
	{ NULL, NULL },
};

int
main(void)
{
	return harness_run("odd messages", cases);
}
