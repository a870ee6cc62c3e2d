#include <stdio.h>

#include "common/clock.h"
#include "harness.h"
#include "standin-upstream/run_log.h"
#include "standin-upstream/status_history.h"

static json_int_t
runs_of(struct run_log *log, const char *request)
{
	json_t *json = run_log_to_json(log);
	json_int_t runs = json_integer_value(
	    json_object_get(json_object_get(json, "runs"), request));

	json_decref(json);
	return runs;
}

static void
test_runs_counted_and_bounded(void)
{
	struct run_log *log = run_log_new(2);

	run_log_add(log, str_from("a"));
	run_log_add(log, str_from("a"));
	run_log_add(log, str_from("b"));
	CU_ASSERT_EQUAL(runs_of(log, "a"), 2);
	CU_ASSERT_EQUAL(runs_of(log, "b"), 1);
	run_log_add(log, str_from("c"));
	CU_ASSERT_EQUAL(runs_of(log, "a"), 0);
	CU_ASSERT_EQUAL(runs_of(log, "b"), 1);
	CU_ASSERT_EQUAL(runs_of(log, "c"), 1);
	run_log_free(log);
}

static void
test_reports_lag(void)
{
	static struct status_history history;

	for (uint32_t i = 0; i < 2 * STATUS_HISTORY_CAPACITY; i++) {
		struct status_report report = {
			.at = timespec_from_ms((int64_t)i * STATUS_SAMPLE_MS),
			.busy = i,
		};

		status_history_add(&history, &report);
	}
	CU_ASSERT_EQUAL(
	    status_history_at(
		&history, timespec_from_ms((int64_t)700 * STATUS_SAMPLE_MS + 1))
		.busy,
	    700);
	CU_ASSERT_EQUAL(
	    status_history_at(&history, timespec_from_ms(INT32_MAX)).busy,
	    2 * STATUS_HISTORY_CAPACITY - 1);
	CU_ASSERT_EQUAL(status_history_at(&history, timespec_from_ms(0)).busy,
	    STATUS_HISTORY_CAPACITY);
}

int
main(void)
{
	static const struct test_case cases[] = {
		{ "runs: counted and bounded", test_runs_counted_and_bounded },
		{ "reports: lag", test_reports_lag },
		{ NULL, NULL },
	};

	return harness_run("upstream_logs", cases);
}
