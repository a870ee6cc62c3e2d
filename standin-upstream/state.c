#include <glib.h>

#include "standin-upstream/upstream.h"

/*
 * Return the actual counts as JSON, without report lag or false reports.
 */
json_t *
upstream_counts(struct upstream *upstream)
{
	const struct work_gate *gate = &upstream->gate;
	json_t *counts;

	pthread_mutex_lock(&upstream->lock);
	counts = json_pack("{s:s,s:I,s:I,s:I,s:I,s:b,s:b,s:I,s:I,s:I,s:I,s:o}",
	    "name", upstream->options->name, "slots", (json_int_t)gate->slots,
	    "limit", (json_int_t)work_gate_limit(gate), "busy",
	    (json_int_t)gate->busy, "queued", (json_int_t)gate->queued, "cold",
	    gate->cold, "draining", gate->draining, "admitted",
	    (json_int_t)gate->admitted, "completed",
	    (json_int_t)gate->completed, "shed", (json_int_t)gate->shed,
	    "overloads", (json_int_t)gate->overloads, "per_second",
	    per_second_log_to_json(
		&upstream->seconds, clock_wall(upstream->clock).tv_sec));
	pthread_mutex_unlock(&upstream->lock);
	json_object_set_new(counts, "cancelled",
	    json_integer((json_int_t)atomic_load(&upstream->cancelled)));
	json_object_set_new(counts, "deadline_passed",
	    json_integer((json_int_t)atomic_load(&upstream->deadline_passed)));
	return counts;
}

static void
set_gate_state(struct upstream *upstream, json_t *cold, json_t *draining)
{
	pthread_mutex_lock(&upstream->lock);
	if (json_is_true(cold))
		work_gate_set_cold(&upstream->gate);
	if (json_is_boolean(draining))
		upstream->gate.draining = json_is_true(draining);
	pthread_mutex_unlock(&upstream->lock);
}

static bool
set_number(json_t *value, atomic_uint *out)
{
	if (value == NULL)
		return true;
	if (!json_is_integer(value) || json_integer_value(value) < 0 ||
	    json_integer_value(value) > G_MAXINT)
		return false;
	atomic_store(out, (unsigned int)json_integer_value(value));
	return true;
}

/*
 * Apply the JSON object of a PUT /standin/state. Return false, without naming
 * the member, if a value has the wrong type.
 */
bool
upstream_set_state(struct upstream *upstream, json_t *state)
{
	static const char *const flag_names[] = { "cold", "hung", "draining",
		"lie" };
	json_t *hung = json_object_get(state, "hung");
	json_t *lie = json_object_get(state, "lie");

	for (size_t i = 0; i < G_N_ELEMENTS(flag_names); i++) {
		json_t *value = json_object_get(state, flag_names[i]);

		if (value != NULL && !json_is_boolean(value))
			return false;
	}
	if (!set_number(
		json_object_get(state, "lag_ms"), &upstream->report_lag_ms) ||
	    !set_number(json_object_get(state, "cold_slowdown"),
		&upstream->cold_slowdown))
		return false;
	if (hung != NULL)
		atomic_store(&upstream->hung, json_is_true(hung));
	if (lie != NULL)
		atomic_store(&upstream->reports_idle, json_is_true(lie));
	set_gate_state(upstream, json_object_get(state, "cold"),
	    json_object_get(state, "draining"));
	return true;
}
