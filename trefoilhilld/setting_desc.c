#include <arpa/inet.h>
#include <math.h>
#include <string.h>

#include "mesh/mesh.h"
#include "route/choice.h"
#include "trefoilhilld/setting_desc.h"

enum {
	NAME_MAX_BYTES = 63,
	PORT_MAX = 65535,
	MINUTE_MS = 60000,
	THOUSAND = 1000,
};

static const char *const spread_policy_names[] = {
	[SPREAD_TREE] = "tree",
	[SPREAD_PUSH] = "push",
	[SPREAD_POLL] = "poll",
	NULL,
};

static const char *const choice_policy_names[] = {
	[CHOICE_ROUND_ROBIN] = "round-robin",
	[CHOICE_LEAST_REQUEST] = "thin",
	[CHOICE_HINTED] = "hinted",
	NULL,
};

static const char *const log_level_names[] = {
	[LOG_THRESHOLD_WARNING] = "warning",
	[LOG_THRESHOLD_INFO] = "info",
	[LOG_THRESHOLD_DEBUG] = "debug",
	NULL,
};

#define OFFSET(member) offsetof(struct settings, member)

const struct setting_desc setting_descs[] = {
	{ "node", "host", NULL, SETTING_NAME, OFFSET(node.host), 0, 0, NULL },
	{ "node", "zone", NULL, SETTING_NAME, OFFSET(node.zone), 0, 0, NULL },
	{ "node", "caller_listen", NULL, SETTING_ADDRESS,
	    OFFSET(node.caller_listen), 0, 0, NULL },
	{ "node", "mesh_listen", NULL, SETTING_ADDRESS,
	    OFFSET(node.mesh_listen), 0, 0, NULL },
	{ "node", "operator_listen", NULL, SETTING_ADDRESS,
	    OFFSET(node.operator_listen), 0, 0, NULL },
	{ "node", "seeds", "", SETTING_SEEDS, OFFSET(node.seeds), 0, 0, NULL },
	{ "node", "caller_threads", "32", SETTING_NUMBER,
	    OFFSET(node.caller_threads), 2, 1024, NULL },
	{ "node", "grace_ms", "10000", SETTING_DURATION, OFFSET(node.grace_ms),
	    100, 60 * MINUTE_MS, NULL },
	{ "node", "link_mbps", "0", SETTING_DECIMAL, OFFSET(node.link_kbps), 0,
	    1000000, NULL },
	{ "node", "metrics_listen", "", SETTING_ADDRESS_OPTIONAL,
	    OFFSET(node.metrics_listen), 0, 0, NULL },
	{ "platform", "url", NULL, SETTING_HTTP_URL, OFFSET(platform.url), 0, 0,
	    NULL },
	{ "platform", "timeout_ms", "2000", SETTING_DURATION,
	    OFFSET(platform.timeout_ms), 10, MINUTE_MS, NULL },
	{ "platform", "watch_ms", "10000", SETTING_DURATION,
	    OFFSET(platform.watch_ms), 10, MINUTE_MS, NULL },
	{ "upstream", "name", NULL, SETTING_NAME, OFFSET(upstream.name), 0, 0,
	    NULL },
	{ "upstream", "address", NULL, SETTING_ADDRESS,
	    OFFSET(upstream.address), 0, 0, NULL },
	{ "upstream", "service", "", SETTING_NAME_OPTIONAL,
	    OFFSET(upstream.service), 0, 0, NULL },
	{ "mesh", "policy", "tree", SETTING_CHOICE, OFFSET(mesh.policy), 0, 0,
	    spread_policy_names },
	{ "mesh", "heartbeat_ms", "500", SETTING_DURATION,
	    OFFSET(mesh.heartbeat_ms), 50, MINUTE_MS, NULL },
	{ "mesh", "drain_ms", "2000", SETTING_DURATION, OFFSET(mesh.drain_ms),
	    100, 60 * MINUTE_MS, NULL },
	{ "mesh", "readers_per_zone", "3", SETTING_NUMBER,
	    OFFSET(mesh.readers_per_zone), 1, 16, NULL },
	{ "mesh", "fanout", "8", SETTING_NUMBER, OFFSET(mesh.fanout), 1, 64,
	    NULL },
	{ "guard", "slots", "12", SETTING_NUMBER, OFFSET(guard.slots), 1, 4096,
	    NULL },
	{ "guard", "connections", "100", SETTING_NUMBER,
	    OFFSET(guard.connections), 1, 4096, NULL },
	{ "guard", "cold_limit", "1", SETTING_NUMBER, OFFSET(guard.cold_limit),
	    1, 4096, NULL },
	{ "guard", "cold_burst_factor", "1", SETTING_DECIMAL,
	    OFFSET(guard.cold_burst_per_mille), 1, 100, NULL },
	{ "guard", "cold_allowance", "1", SETTING_AMOUNT,
	    OFFSET(guard.cold_allowance), 0, 4096, NULL },
	{ "guard", "queue_limit", "24", SETTING_NUMBER,
	    OFFSET(guard.queue_limit), 0, 65536, NULL },
	{ "guard", "queue_wait_ms", "250", SETTING_DURATION,
	    OFFSET(guard.queue_wait_ms), 0, MINUTE_MS, NULL },
	{ "guard", "tick_ms", "100", SETTING_DURATION, OFFSET(guard.tick_ms),
	    10, 1000, NULL },
	{ "guard", "tick_bound", "20", SETTING_NUMBER, OFFSET(guard.tick_bound),
	    2, 1000, NULL },
	{ "guard", "once_entries", "65536", SETTING_NUMBER,
	    OFFSET(guard.once_entries), 1024, 1048576, NULL },
	{ "route", "policy", "hinted", SETTING_CHOICE, OFFSET(route.policy), 0,
	    0, choice_policy_names },
	{ "route", "hint_fresh_ms", "1000", SETTING_DURATION,
	    OFFSET(route.hint_fresh_ms), 10, MINUTE_MS, NULL },
	{ "route", "retry_percent", "20", SETTING_NUMBER,
	    OFFSET(route.retry_percent), 0, 100, NULL },
	{ "route", "retry_ratio", "0.2", SETTING_DECIMAL,
	    OFFSET(route.retry_per_mille), 0, 1, NULL },
	{ "route", "retry_window_ms", "10000", SETTING_DURATION,
	    OFFSET(route.retry_window_ms), 100, 60 * MINUTE_MS, NULL },
	{ "route", "retry_allowance", "50", SETTING_AMOUNT,
	    OFFSET(route.retry_allowance), 0, 1000000, NULL },
	{ "route", "timeout_ms", "10000", SETTING_DURATION,
	    OFFSET(route.timeout_ms), 1, 60 * MINUTE_MS, NULL },
	{ "quota", "window_ms", "5000", SETTING_DURATION,
	    OFFSET(quota.window_ms), 100, 10 * MINUTE_MS, NULL },
	{ "quota", "overage", "0.25", SETTING_DECIMAL,
	    OFFSET(quota.overage_per_mille), 0, 10, NULL },
	{ "quota", "slack", "20", SETTING_AMOUNT, OFFSET(quota.slack), 0,
	    1000000, NULL },
	{ "limits", "memory_mb", "256", SETTING_AMOUNT,
	    OFFSET(limits.memory_mb), 1, 1048576, NULL },
	{ "limits", "descriptors", "1048576", SETTING_AMOUNT,
	    OFFSET(limits.descriptors), 16, 1048576, NULL },
	{ "limits", "unread_ms", "30000", SETTING_DURATION,
	    OFFSET(limits.unread_ms), 100, 60 * MINUTE_MS, NULL },
	{ "limits", "operator_idle_ms", "120000", SETTING_DURATION,
	    OFFSET(limits.operator_idle_ms), 100, 60 * MINUTE_MS, NULL },
	{ "log", "level", "info", SETTING_CHOICE, OFFSET(log.level), 0, 0,
	    log_level_names },
	{ "log", "lines_per_s", "200", SETTING_NUMBER, OFFSET(log.lines_per_s),
	    0, 100000, NULL },
	{ "log", "event_entries", "4096", SETTING_NUMBER,
	    OFFSET(log.event_entries), 16, 65536, NULL },
};

const size_t setting_desc_count = G_N_ELEMENTS(setting_descs);

/*
 * Find a setting by section and key; NULL when there is none.
 */
const struct setting_desc *
setting_desc_find(const char *section, const char *key)
{
	for (size_t i = 0; i < setting_desc_count; i++)
		if (strcmp(setting_descs[i].section, section) == 0 &&
		    strcmp(setting_descs[i].key, key) == 0)
			return &setting_descs[i];
	return NULL;
}

/*
 * Return whether the section has any setting.
 */
bool
setting_section_exists(const char *section)
{
	for (size_t i = 0; i < setting_desc_count; i++)
		if (strcmp(setting_descs[i].section, section) == 0)
			return true;
	return false;
}

/*
 * Return a description of the valid values of a setting for an error message.
 * The caller frees the text with g_free.
 */
char *
setting_desc_expected(const struct setting_desc *desc)
{
	char *joined, *text;

	switch (desc->type) {
	case SETTING_NAME:
		return g_strdup("a name of 1 to 63 bytes of a-z 0-9 . -");
	case SETTING_NAME_OPTIONAL:
		return g_strdup("nothing, or a name of 1 to 63 bytes of "
				"a-z 0-9 . -");
	case SETTING_ADDRESS:
		return g_strdup("IP:PORT");
	case SETTING_ADDRESS_OPTIONAL:
		return g_strdup("nothing, or IP:PORT");
	case SETTING_SEEDS:
		return g_strdup_printf(
		    "at most %d addresses IP:PORT, separated by commas",
		    SETTINGS_SEEDS_MAX);
	case SETTING_HTTP_URL:
		return g_strdup("http://IP:PORT");
	case SETTING_NUMBER:
		return g_strdup_printf(
		    "a whole number from %u to %u", desc->min, desc->max);
	case SETTING_DURATION:
		return g_strdup_printf("%u to %u ms, or a number with the unit "
				       "ms, s or min",
		    desc->min, desc->max);
	case SETTING_AMOUNT:
	case SETTING_DECIMAL:
		return g_strdup_printf(
		    "a number from %u to %u", desc->min, desc->max);
	case SETTING_CHOICE:
		break;
	}
	joined = g_strjoinv(", ", (char **)desc->choices);
	text = g_strdup_printf("one of %s", joined);
	g_free(joined);
	return text;
}

static bool
setting_name_is_valid(const char *text)
{
	size_t len = strlen(text);

	return len >= 1 && len <= NAME_MAX_BYTES &&
	    strspn(text, "abcdefghijklmnopqrstuvwxyz0123456789.-") == len;
}

static bool
setting_address_is_valid(const char *text)
{
	const char *colon = strrchr(text, ':');
	struct in_addr ip;
	guint64 port;
	char *host;
	bool valid;

	if (colon == NULL)
		return false;
	host = g_strndup(text, (gsize)(colon - text));
	valid = inet_pton(AF_INET, host, &ip) == 1 &&
	    g_ascii_string_to_unsigned(colon + 1, 10, 1, PORT_MAX, &port, NULL);
	g_free(host);
	return valid;
}

static bool
seeds_store(const char *text, struct settings *settings)
{
	char **items = g_strsplit(text, ",", SETTINGS_SEEDS_MAX + 1);
	bool valid = true;

	for (char **item = items; valid && *item != NULL; item++) {
		g_strstrip(*item);
		if (**item == '\0')
			continue;
		valid = settings->node.seed_count < SETTINGS_SEEDS_MAX &&
		    setting_address_is_valid(*item);
		if (valid)
			settings->node.seeds[settings->node.seed_count++] =
			    str_dup(str_from(*item));
	}
	g_strfreev(items);
	return valid;
}

/* Read a number in range, which a fraction is, and no text after it. */
static bool
number_read(const struct setting_desc *desc, const char *text, double *number)
{
	char *end;

	*number = g_ascii_strtod(text, &end);
	return end != text && *end == '\0' && *number >= desc->min &&
	    *number <= desc->max;
}

static bool
decimal_store(
    const struct setting_desc *desc, const char *text, uint32_t *thousandths)
{
	double number;

	if (!number_read(desc, text, &number))
		return false;
	*thousandths = (uint32_t)lround(number * THOUSAND);
	return true;
}

static bool
amount_store(const struct setting_desc *desc, const char *text, uint32_t *whole)
{
	double number;

	if (!number_read(desc, text, &number))
		return false;
	*whole = (uint32_t)number;
	return true;
}

/* Milliseconds in a unit of time, also without one; 0 if it is unknown. */
static uint32_t
unit_ms(const char *unit)
{
	static const struct {
		const char *name;
		uint32_t ms;
	} units[] = { { "", 1 }, { "ms", 1 }, { "s", THOUSAND },
		{ "min", MINUTE_MS } };

	while (g_ascii_isspace(*unit))
		unit++;
	for (size_t i = 0; i < G_N_ELEMENTS(units); i++)
		if (strcmp(unit, units[i].name) == 0)
			return units[i].ms;
	return 0;
}

static bool
duration_store(const struct setting_desc *desc, const char *text, uint32_t *ms)
{
	char *end;
	double number = g_ascii_strtod(text, &end) * unit_ms(end);

	if (end == text || unit_ms(end) == 0 ||
	    !(number >= desc->min && number <= desc->max))
		return false;
	*ms = (uint32_t)lround(number);
	return true;
}

static bool
choice_store(const char *const *choices, const char *text, uint32_t *chosen)
{
	for (uint32_t i = 0; choices[i] != NULL; i++) {
		if (strcmp(choices[i], text) == 0) {
			*chosen = i;
			return true;
		}
	}
	return false;
}

/*
 * Validate the text of a setting and store its value. Returns false when the
 * text does not match the description of setting_desc_expected. Some items of a
 * list may have been stored by then, so the caller must discard the settings.
 */
bool
setting_desc_store(const struct setting_desc *desc, const char *text,
    struct settings *settings)
{
	static const char scheme[] = "http://";
	void *member = (char *)settings + desc->offset;
	guint64 number;
	bool valid = false;

	switch (desc->type) {
	case SETTING_NAME:
		valid = setting_name_is_valid(text);
		break;
	case SETTING_NAME_OPTIONAL:
		valid = *text == '\0' || setting_name_is_valid(text);
		break;
	case SETTING_ADDRESS:
		valid = setting_address_is_valid(text);
		break;
	case SETTING_ADDRESS_OPTIONAL:
		valid = *text == '\0' || setting_address_is_valid(text);
		break;
	case SETTING_HTTP_URL:
		valid = g_str_has_prefix(text, scheme) &&
		    setting_address_is_valid(text + strlen(scheme));
		break;
	case SETTING_SEEDS:
		return seeds_store(text, settings);
	case SETTING_CHOICE:
		return choice_store(desc->choices, text, member);
	case SETTING_DECIMAL:
		return decimal_store(desc, text, member);
	case SETTING_DURATION:
		return duration_store(desc, text, member);
	case SETTING_AMOUNT:
		return amount_store(desc, text, member);
	case SETTING_NUMBER:
		if (!g_ascii_string_to_unsigned(
			text, 10, desc->min, desc->max, &number, NULL))
			return false;
		*(uint32_t *)member = (uint32_t)number;
		return true;
	}
	if (valid)
		*(struct str *)member = str_dup(str_from(text));
	return valid;
}
