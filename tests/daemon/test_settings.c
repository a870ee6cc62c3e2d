#include <string.h>

#include "harness.h"
#include "trefoilhilld/setting_desc.h"

/*
 * Guards against settings that don't load, so that no node starts, as a figure
 * of the deployment is a fraction or in another unit.
 */
struct setting_case {
	const char *section, *key, *text;
	bool valid;
	uint32_t value;
};

static const struct setting_case setting_cases[] = {
	{ "node", "grace_ms", "6.5s", true, 6500 },
	{ "node", "grace_ms", "6.5000s", true, 6500 },
	{ "node", "grace_ms", "6s", true, 6000 },
	{ "node", "grace_ms", "0.57s", true, 570 },
	{ "node", "grace_ms", "1e1 s", true, 10000 },
	{ "node", "grace_ms", "6500", true, 6500 },
	{ "node", "grace_ms", "6500.4ms", true, 6500 },
	{ "node", "grace_ms", "0.5min", true, 30000 },
	{ "node", "grace_ms", "0.05s", false, 0 },
	{ "node", "grace_ms", "6.5h", false, 0 },
	{ "node", "grace_ms", "6.5 s s", false, 0 },
	{ "node", "grace_ms", "s", false, 0 },
	{ "node", "grace_ms", "", false, 0 },
	{ "node", "grace_ms", "-6s", false, 0 },
	{ "node", "grace_ms", "infs", false, 0 },
	{ "node", "grace_ms", "nan", false, 0 },
	{ "node", "grace_ms", "1e400s", false, 0 },
	{ "mesh", "drain_ms", "2000.5", true, 2001 },
	{ "mesh", "heartbeat_ms", "0.3s", true, 300 },
	{ "route", "retry_window_ms", "10.25s", true, 10250 },
	{ "route", "retry_allowance", "60.9", true, 60 },
	{ "route", "retry_allowance", "1000000.5", false, 0 },
	{ "route", "retry_ratio", "0.57", true, 570 },
	{ "route", "retry_ratio", "0.0004", true, 0 },
	{ "guard", "cold_allowance", "5.5", true, 5 },
	{ "guard", "cold_allowance", "5e0", true, 5 },
	{ "guard", "cold_burst_factor", "1.001", true, 1001 },
	{ "quota", "window_ms", "0.5s", true, 500 },
	{ "quota", "slack", "20.5", true, 20 },
	{ "limits", "memory_mb", "109.5", true, 109 },
	{ "limits", "memory_mb", "0.5", false, 0 },
	{ "limits", "descriptors", "4100", true, 4100 },
	{ "limits", "descriptors", "15", false, 0 },
	{ "limits", "descriptors", "", false, 0 },
	{ "node", "caller_threads", "2.5", false, 0 },
	{ "node", "link_mbps", "14.57", true, 14570 },
};

static void
check_case(const struct setting_case *c)
{
	const struct setting_desc *desc = setting_desc_find(c->section, c->key);
	struct settings *settings = g_new0(struct settings, 1);

	g_assert_nonnull(desc);
	if (setting_desc_store(desc, c->text, settings) != c->valid) {
		printf("%s=%s\n", c->key, c->text);
		CU_FAIL("not as expected");
	} else if (c->valid) {
		CU_ASSERT_EQUAL(
		    *(const uint32_t *)((const char *)settings + desc->offset),
		    c->value);
	}
	g_free(settings);
}

static void
test_figures(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(setting_cases); i++)
		check_case(&setting_cases[i]);
}

/* A time may be a fraction, whichever it is. */
static void
test_all_times_take_fractions(void)
{
	for (size_t i = 0; i < setting_desc_count; i++) {
		const struct setting_desc *desc = &setting_descs[i];
		struct settings *settings = g_new0(struct settings, 1);
		char *text;

		if (g_str_has_suffix(desc->key, "_ms")) {
			text = g_strdup_printf("%u.25", desc->min);
			CU_ASSERT_TRUE(
			    setting_desc_store(desc, text, settings));
			g_free(text);
		}
		g_free(settings);
	}
}

static const struct test_case cases[] = {
	{ "figures", test_figures },
	{ "all times take fractions", test_all_times_take_fractions },
	{ NULL, NULL },
};

int
main(void)
{
	return harness_run("settings", cases);
}
