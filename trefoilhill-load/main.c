#include <math.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "common/rng.h"
#include "trefoilhill-load/audit.h"
#include "trefoilhill-load/options.h"
#include "trefoilhill-load/plan.h"
#include "trefoilhill-load/report.h"
#include "trefoilhill-load/sender.h"

enum {
	START_DELAY_MS = 50,
	AUDIT_DELAY_MS = 300, /* for executions that outlast their callers */
};

static void *
run_sender(void *arg)
{
	sender_run(arg);
	return NULL;
}

static uint32_t
new_run_tag(void)
{
	struct rng *rng = rng_system_new();
	uint32_t tag = (uint32_t)rng_next(rng);

	rng_free(rng);
	return tag;
}

/* Runs all sender threads to completion and returns their merged results. */
static struct result *
run_senders(const struct load_options *options, struct plan *plan)
{
	struct sender **senders = g_new0(struct sender *, options->threads);
	pthread_t *threads = g_new0(pthread_t, options->threads);
	struct timespec start =
	    timespec_plus_ms(clock_now(clock_system()), START_DELAY_MS);
	struct result *result =
	    result_new((size_t)ceil(options->duration_s), options->kinds->len);

	for (uint32_t i = 0; i < options->threads; i++) {
		senders[i] =
		    sender_new(options, plan, start, i, options->threads);
		pthread_create(&threads[i], NULL, run_sender, senders[i]);
	}
	for (uint32_t i = 0; i < options->threads; i++) {
		pthread_join(threads[i], NULL);
		result_merge(result, senders[i]->result);
		sender_free(senders[i]);
	}
	g_free(senders);
	g_free(threads);
	return result;
}

static bool
has_no_violations(const struct result *result, const struct audit *audit)
{
	return result->total.outcomes[OUTCOME_WRONG] == 0 &&
	    audit->double_runs == 0 && audit->false_not_runs == 0;
}

int
main(int argc, char **argv)
{
	struct load_options options;
	struct timespec audit_delay = timespec_from_ms(AUDIT_DELAY_MS);
	struct plan *plan;
	struct result *result;
	struct audit audit;
	struct report report = { .options = &options, .audit = &audit };
	int status;

	load_options_parse(&options, argc, argv);
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	plan = plan_new(&options, new_run_tag());
	report.started_at = clock_wall(clock_system()).tv_sec;
	result = run_senders(&options, plan);
	report.result = result;
	nanosleep(&audit_delay, NULL);
	audit_run(&audit, &options, plan);
	if (options.json)
		report_print_json(&report);
	else
		report_print_text(&report);
	status =
	    has_no_violations(result, &audit) ? EXIT_SUCCESS : EXIT_FAILURE;
	result_free(result);
	plan_free(plan);
	load_options_clear(&options);
	curl_global_cleanup();
	return status;
}
