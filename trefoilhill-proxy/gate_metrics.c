#include "guard/class_share.h"
#include "trefoilhill-proxy/gate_private.h"

/*
 * Append how many requests the gate has refused, by reason and priority. The
 * last priority includes all less urgent ones.
 */
void
gate_render_refusals(const struct gate *gate, GString *out)
{
	for (int reason = ADMISSION_OK + 1; reason < ADMISSION_REASON_COUNT;
	     reason++) {
		for (uint32_t i = 0; i < CLASS_SHARE_COUNT; i++) {
			uint64_t count = admission_refused_count(
			    gate->admission, (enum admission_reason)reason, i);

			if (count == 0)
				continue;
			g_string_append_printf(out,
			    "trefoilhill_gate_refused_total{reason=\"%s\","
			    "priority=\"%u\"} %" G_GUINT64_FORMAT "\n",
			    admission_reason_name(
				(enum admission_reason)reason),
			    i, (guint64)count);
		}
	}
}
