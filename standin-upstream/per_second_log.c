#include <glib.h>

#include "standin-upstream/per_second_log.h"

/*
 * Record one admission decision, or an overload, in the row of its second.
 */
void
per_second_log_add(struct per_second_log *log, int64_t second, bool begun,
    bool overload, uint32_t busy, uint32_t limit)
{
	struct per_second_row *row =
	    &log->rows[second % PER_SECOND_LOG_CAPACITY];

	if (row->second != second)
		*row = (struct per_second_row){
			.second = second,
			.limit_min = limit,
		};
	row->begun += begun;
	row->overloads += overload;
	row->busy_max = MAX(row->busy_max, busy);
	row->limit_min = MIN(row->limit_min, limit);
}

/*
 * Return [[SECOND,BEGUN,OVERLOADS,BUSY_MAX,LIMIT_MIN],...], oldest first,
 * without the seconds that have no decision.
 */
json_t *
per_second_log_to_json(const struct per_second_log *log, int64_t now)
{
	json_t *rows = json_array();

	for (int64_t s = now - PER_SECOND_LOG_CAPACITY + 1; s <= now; s++) {
		const struct per_second_row *row =
		    &log->rows[s % PER_SECOND_LOG_CAPACITY];

		if (row->second != s)
			continue;
		json_array_append_new(rows,
		    json_pack("[IIIII]", (json_int_t)s, (json_int_t)row->begun,
			(json_int_t)row->overloads, (json_int_t)row->busy_max,
			(json_int_t)row->limit_min));
	}
	return rows;
}
