#include <string.h>

#include "harness.h"
#include "trefoilhill-load/error.h"
#include "trefoilhill-load/plan.h"
#include "trefoilhill-load/request_kind.h"

static void
test_kind_parse(void)
{
	GError *error = NULL;
	struct request_kind *kind = request_kind_parse(
	    "POST,a.test,/x?work_ms=2&size=77,3,500", &error);

	CU_ASSERT_PTR_NOT_NULL(kind);
	if (kind == NULL)
		return;
	CU_ASSERT_STRING_EQUAL(kind->authority, "a.test");
	CU_ASSERT_STRING_EQUAL(kind->target, "/x?work_ms=2&size=77");
	CU_ASSERT_EQUAL(kind->weight, 3);
	CU_ASSERT_EQUAL(kind->timeout_ms, 500);
	CU_ASSERT_EQUAL(kind->size, 77);
	CU_ASSERT_FALSE(kind->idempotent);
	request_kind_free(kind);
}

static void
test_kind_parse_rejects_invalid(void)
{
	static const char *const wrong[] = { "", "GET", "GET,a,/,0",
		"GET,a,x,1", "GET,a,/,1,0", "GET,a,/,1,x" };

	for (size_t i = 0; i < G_N_ELEMENTS(wrong); i++) {
		GError *error = NULL;

		CU_ASSERT_PTR_NULL(request_kind_parse(wrong[i], &error));
		CU_ASSERT_TRUE(
		    g_error_matches(error, LOAD_ERROR, LOAD_ERROR_OPTION));
		g_clear_error(&error);
	}
}

static struct load_options
new_load_options(void)
{
	struct load_options options = {
		.nodes = g_ptr_array_new_with_free_func(g_free),
		.upstreams = g_ptr_array_new(),
		.kinds = g_ptr_array_new_with_free_func(
		    (GDestroyNotify)request_kind_free),
		.rate = 100,
		.duration_s = 10,
		.seed = 5,
	};

	g_ptr_array_add(options.nodes, g_strdup("a"));
	g_ptr_array_add(options.nodes, g_strdup("b"));
	g_ptr_array_add(options.kinds, request_kind_parse("GET,,/,900", NULL));
	g_ptr_array_add(options.kinds, request_kind_parse("POST,,/,100", NULL));
	return options;
}

static void
test_plan_follows_seed(void)
{
	struct load_options options = new_load_options();
	struct plan *a = plan_new(&options, 1);
	struct plan *b = plan_new(&options, 2);
	size_t posts = 0;

	CU_ASSERT_EQUAL(a->count, 1000);
	CU_ASSERT_EQUAL(
	    memcmp(a->requests, b->requests, a->count * sizeof(*a->requests)),
	    0);
	for (size_t i = 0; i < a->count; i++)
		posts += a->requests[i].kind;
	CU_ASSERT(posts > 60 && posts < 140);
	plan_free(a);
	plan_free(b);
	load_options_clear(&options);
}

static void
test_plan_find_rejects_other_runs(void)
{
	struct load_options options = new_load_options();
	struct plan *own = plan_new(&options, 1);
	struct plan *other = plan_new(&options, 2);
	char id[REQUEST_ID_DIGITS + 1];
	size_t index = 0;

	plan_request_id(own, 999, id);
	CU_ASSERT_EQUAL(plan_find(own, id, &index), 0);
	CU_ASSERT_EQUAL(index, 999);
	CU_ASSERT_EQUAL(plan_find(other, id, &index), -1);
	plan_request_id(own, 1000, id);
	CU_ASSERT_EQUAL(plan_find(own, id, &index), -1);
	CU_ASSERT_EQUAL(plan_find(own, "unnamed-1", &index), -1);
	plan_free(own);
	plan_free(other);
	load_options_clear(&options);
}

int
main(void)
{
	static const struct test_case cases[] = {
		{ "kind: parse", test_kind_parse },
		{ "kind: reject invalid", test_kind_parse_rejects_invalid },
		{ "plan follows the seed", test_plan_follows_seed },
		{ "ids of other runs are unknown",
		    test_plan_find_rejects_other_runs },
		{ NULL, NULL },
	};

	return harness_run("load_plan", cases);
}
