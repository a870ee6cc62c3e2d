#include <malloc.h>
#include <string.h>
#include <sys/resource.h>

#include "account/trim_policy.h"
#include "trefoilhill-proxy/connection_limits.h"
#include "trefoilhill-proxy/proxy.h"

enum {
	BYTES_PER_MB = 1024 * 1024,
	/* The rest is for the configuration, tables and the heap's gaps. */
	CONNECTION_MEMORY_PERCENT = 50,
	PERCENT = 100,
	/* For listeners, logs and files. */
	OTHER_DESCRIPTORS_MIN = 32,
	OTHER_DESCRIPTORS_DIVISOR = 16,
	LINE_INTERVAL_MS = 1000,
};

struct limit_counts {
	uint64_t closed;
	uint64_t expired;
	uint64_t refused;
};

struct connection_limits {
	struct proxy *proxy;
	struct limit_counts counts[CONNECTION_CLASSES][ACCOUNT_RESOURCES];
	struct limit_counts logged[CONNECTION_CLASSES][ACCOUNT_RESOURCES];
	int64_t logged_ms;
	struct trim_policy trim_policy;
};

static const char *const resource_names[ACCOUNT_RESOURCES] = {
	[ACCOUNT_MEMORY] = "memory",
	[ACCOUNT_DESCRIPTORS] = "descriptors",
};

/*
 * Return the limits for the connections of a process.
 */
struct account_settings
connection_limits_derive(
    const struct limit_settings *settings, uint64_t process_descriptors)
{
	uint64_t descriptors =
	    MIN(process_descriptors, (uint64_t)settings->descriptors);
	uint64_t other = MAX(descriptors / OTHER_DESCRIPTORS_DIVISOR,
	    (uint64_t)OTHER_DESCRIPTORS_MIN);

	return (struct account_settings){
		.limits = {
			[ACCOUNT_MEMORY] = (uint64_t)settings->memory_mb *
			    BYTES_PER_MB * CONNECTION_MEMORY_PERCENT / PERCENT,
			/* A process with few is likely to have a small load. */
			[ACCOUNT_DESCRIPTORS] =
			    descriptors - MIN(other, descriptors / 2),
		},
		.unread_max_ms = settings->unread_ms,
		.operator_idle_max_ms = settings->operator_idle_ms,
	};
}

static struct account_settings
current_limits(const struct proxy *proxy)
{
	struct rlimit descriptors = { .rlim_cur = RLIM_INFINITY };

	getrlimit(RLIMIT_NOFILE, &descriptors);
	return connection_limits_derive(
	    &proxy->settings->limits, descriptors.rlim_cur);
}

static void
handle_limit(void *arg, enum connection_class class,
    enum account_resource resource, enum http_limit_event event)
{
	struct connection_limits *limits = arg;
	struct limit_counts *counts = &limits->counts[class][resource];

	switch (event) {
	case HTTP_LIMIT_CLOSED:
		counts->closed++;
		break;
	case HTTP_LIMIT_EXPIRED:
		counts->expired++;
		break;
	case HTTP_LIMIT_REFUSED:
		counts->refused++;
		break;
	}
}

/*
 * Return the limits of a proxy, and create its connections.
 */
struct connection_limits *
connection_limits_new(struct proxy *proxy)
{
	struct connection_limits *limits = g_new0(struct connection_limits, 1);
	struct http_connections_ops ops = {
		.handle_limit = handle_limit,
		.arg = limits,
	};
	struct account_settings settings = current_limits(proxy);

	limits->proxy = proxy;
	proxy->connections = http_connections_new(proxy->loop, &settings, ops);
	return limits;
}

/*
 * Use the proxy's new settings.
 */
void
connection_limits_reload(struct connection_limits *limits)
{
	struct account_settings settings = current_limits(limits->proxy);

	http_connections_configure(limits->proxy->connections, &settings);
}

/* Log what a limit has done since the last line; false if nothing. */
static bool
log_limit(struct connection_limits *limits, enum connection_class class,
    enum account_resource resource)
{
	const struct account *account =
	    http_connections_account(limits->proxy->connections);
	struct limit_counts *now = &limits->counts[class][resource];
	struct limit_counts *logged = &limits->logged[class][resource];
	struct json_line *line;

	if (memcmp(now, logged, sizeof(*now)) == 0)
		return false;
	line = json_log_begin(
	    limits->proxy->log, LOG_CLASS_STATE, "connection_limit");
	json_line_cstr(line, "class", connection_class_name(class));
	json_line_cstr(line, "resource", resource_names[resource]);
	json_line_int(line, "closed", (int64_t)(now->closed - logged->closed));
	json_line_int(
	    line, "expired", (int64_t)(now->expired - logged->expired));
	json_line_int(
	    line, "refused", (int64_t)(now->refused - logged->refused));
	json_line_int(
	    line, "used", (int64_t)account_used(account, class, resource));
	json_line_int(line, "reserve",
	    (int64_t)account_reserve(account, class, resource));
	json_line_int(line, "limit", (int64_t)account_limit(account, resource));
	json_log_end(line);
	*logged = *now;
	return true;
}

/* Log what the limits have done, at most once a second. */
static void
log_limits(struct connection_limits *limits, int64_t now_ms)
{
	bool any = false;

	if (now_ms - limits->logged_ms < LINE_INTERVAL_MS)
		return;
	for (size_t i = 0; i < CONNECTION_CLASSES; i++)
		for (size_t j = 0; j < ACCOUNT_RESOURCES; j++)
			any = log_limit(limits, i, j) || any;
	if (any)
		limits->logged_ms = now_ms;
}

/*
 * Log what the limits have done, and return memory to the system after a crowd
 * has left.
 */
void
connection_limits_tick(struct connection_limits *limits)
{
	struct http_connections *connections = limits->proxy->connections;
	int64_t now_ms = proxy_now_ms(limits->proxy);
	uint64_t peak;

	http_connections_tick(connections);
	log_limits(limits, now_ms);
	peak = http_connections_take_memory_peak(connections);
	if (trim_policy_check(&limits->trim_policy,
		account_memory(http_connections_account(connections)), peak,
		now_ms))
		malloc_trim(0);
}

static void
render_class(const struct connection_limits *limits,
    const struct account *account, enum connection_class class, GString *out)
{
	const char *name = connection_class_name(class);

	g_string_append_printf(out,
	    "trefoilhill_connections{class=\"%s\"} %" G_GUINT64_FORMAT "\n"
	    "trefoilhill_connection_memory_bytes{class=\"%s\"} "
	    "%" G_GUINT64_FORMAT "\n",
	    name, (guint64)account_used(account, class, ACCOUNT_DESCRIPTORS),
	    name, (guint64)account_used(account, class, ACCOUNT_MEMORY));
	for (size_t i = 0; i < ACCOUNT_RESOURCES; i++) {
		const struct limit_counts *counts = &limits->counts[class][i];

		g_string_append_printf(out,
		    "trefoilhill_connections_closed_total{class=\"%s\","
		    "limit=\"%s\"} %" G_GUINT64_FORMAT "\n",
		    name, resource_names[i], (guint64)counts->closed);
	}
	g_string_append_printf(out,
	    "trefoilhill_connections_refused_total{class=\"%s\"} "
	    "%" G_GUINT64_FORMAT "\n"
	    "trefoilhill_connections_expired_total{class=\"%s\"} "
	    "%" G_GUINT64_FORMAT "\n",
	    name, (guint64)limits->counts[class][ACCOUNT_DESCRIPTORS].refused,
	    name, (guint64)limits->counts[class][ACCOUNT_DESCRIPTORS].expired);
}

/*
 * Append the metrics.
 */
void
connection_limits_render(const struct connection_limits *limits, GString *out)
{
	const struct account *account =
	    http_connections_account(limits->proxy->connections);

	for (size_t i = 0; i < CONNECTION_CLASSES; i++)
		render_class(limits, account, i, out);
	for (size_t i = 0; i < ACCOUNT_RESOURCES; i++)
		g_string_append_printf(out,
		    "trefoilhill_connection_limit{resource=\"%s\"} "
		    "%" G_GUINT64_FORMAT "\n",
		    resource_names[i], (guint64)account_limit(account, i));
}
