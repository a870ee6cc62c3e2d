#include <arpa/inet.h>
#include <string.h>

#include "mesh/mesh.h"
#include "route/choice.h"
#include "trefoilhilld/setting_desc.h"

enum {
	NAME_MAX_BYTES = 63,
	PORT_MAX = 65535,
	MINUTE_MS = 60000,
};

static const char *const spread_names[] = {
	[SPREAD_TREE] = "tree",
	[SPREAD_PUSH] = "push",
	[SPREAD_POLL] = "poll",
	NULL,
};

static const char *const choice_names[] = {
	[CHOICE_ROUND_ROBIN] = "round-robin",
	[CHOICE_THIN] = "thin",
	[CHOICE_HINTED] = "hinted",
	NULL,
};

static const char *const level_names[] = {
	[LOG_THRESHOLD_WARNING] = "warning",
	[LOG_THRESHOLD_INFO] = "info",
	[LOG_THRESHOLD_DEBUG] = "debug",
	NULL,
};

#define SETTING(section_, key_, type_, fallback_)                  \
	.section = #section_, .key = #key_, .fallback = fallback_, \
	.type = type_, .offset = offsetof(struct settings, section_.key_)
#define TEXT(section, key, type, fallback)            \
	{                                             \
		SETTING(section, key, type, fallback) \
	}
#define NUMBER(section, key, fallback, low, high)                             \
	{                                                                     \
		SETTING(section, key, SETTING_NUMBER, fallback), .min = low,  \
								 .max = high, \
	}
#define CHOICE(section, key, fallback, names)                    \
	{                                                        \
		SETTING(section, key, SETTING_CHOICE, fallback), \
		    .choices = names,                            \
	}

const struct setting_desc setting_descs[] = {
	TEXT(node, host, SETTING_NAME, NULL),
	TEXT(node, zone, SETTING_NAME, NULL),
	TEXT(node, caller_listen, SETTING_ADDRESS, NULL),
	TEXT(node, mesh_listen, SETTING_ADDRESS, NULL),
	TEXT(node, operator_listen, SETTING_ADDRESS, NULL),
	TEXT(node, seeds, SETTING_SEEDS, ""),
	NUMBER(node, caller_threads, "32", 2, 1024),
	TEXT(platform, url, SETTING_HTTP_URL, NULL),
	NUMBER(platform, timeout_ms, "2000", 10, MINUTE_MS),
	NUMBER(platform, watch_ms, "10000", 10, MINUTE_MS),
	TEXT(upstream, name, SETTING_NAME, NULL),
	TEXT(upstream, address, SETTING_ADDRESS, NULL),
	CHOICE(mesh, policy, "tree", spread_names),
	NUMBER(mesh, heartbeat_ms, "500", 50, MINUTE_MS),
	NUMBER(mesh, readers_per_zone, "3", 1, 16),
	NUMBER(mesh, fanout, "8", 1, 64),
	NUMBER(guard, slots, "12", 1, 4096),
	NUMBER(guard, connections, "100", 1, 4096),
	NUMBER(guard, cold_limit, "1", 1, 4096),
	NUMBER(guard, queue_limit, "24", 0, 65536),
	NUMBER(guard, queue_wait_ms, "100", 0, MINUTE_MS),
	NUMBER(guard, tick_ms, "100", 10, 1000),
	NUMBER(guard, tick_bound, "20", 2, 1000),
	NUMBER(guard, once_entries, "65536", 1024, 1048576),
	CHOICE(route, policy, "hinted", choice_names),
	NUMBER(route, hint_fresh_ms, "1000", 10, MINUTE_MS),
	NUMBER(route, retry_percent, "20", 0, 100),
	NUMBER(route, timeout_ms, "10000", 1, 60 * MINUTE_MS),
	CHOICE(log, level, "info", level_names),
	NUMBER(log, event_entries, "4096", 16, 65536),
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
 * Tell whether any setting lives in the section.
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
 * Describe the values that a setting takes, for an error message. The caller
 * frees the text with g_free.
 */
char *
setting_desc_expected(const struct setting_desc *desc)
{
	char *joined, *text;

	switch (desc->type) {
	case SETTING_NAME:
		return g_strdup("a name of 1 to 63 bytes of a-z 0-9 . -");
	case SETTING_ADDRESS:
		return g_strdup("IP:PORT");
	case SETTING_SEEDS:
		return g_strdup_printf(
		    "at most %d addresses IP:PORT, separated by commas",
		    SETTINGS_SEEDS_MAX);
	case SETTING_HTTP_URL:
		return g_strdup("http://IP:PORT");
	case SETTING_NUMBER:
		return g_strdup_printf(
		    "a whole number from %u to %u", desc->min, desc->max);
	case SETTING_CHOICE:
		break;
	}
	joined = g_strjoinv(", ", (char **)desc->choices);
	text = g_strdup_printf("one of %s", joined);
	g_free(joined);
	return text;
}

static bool
name_is_valid(const char *text)
{
	size_t len = strlen(text);

	return len >= 1 && len <= NAME_MAX_BYTES &&
	    strspn(text, "abcdefghijklmnopqrstuvwxyz0123456789.-") == len;
}

static bool
address_is_valid(const char *text)
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
		    address_is_valid(*item);
		if (valid)
			settings->node.seeds[settings->node.seed_count++] =
			    str_dup(str_from(*item));
	}
	g_strfreev(items);
	return valid;
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
 * Check the text of a setting and store its value. False when the text is
 * not what setting_desc_expected describes; a part of a list may then have
 * been stored, so the settings are to be dropped.
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
		valid = name_is_valid(text);
		break;
	case SETTING_ADDRESS:
		valid = address_is_valid(text);
		break;
	case SETTING_HTTP_URL:
		valid = g_str_has_prefix(text, scheme) &&
		    address_is_valid(text + strlen(scheme));
		break;
	case SETTING_SEEDS:
		return seeds_store(text, settings);
	case SETTING_CHOICE:
		return choice_store(desc->choices, text, member);
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
