#include "trefoilhill-proxy/gate_private.h"
#include "trefoilhill-proxy/heartbeat.h"

/* What the upstream says of itself, to this node or to a peer. */

/* Log a notice, and where it comes from: the upstream or a peer. */
static void
log_notice(struct gate *gate, const struct upstream *upstream, const char *from)
{
	struct json_line *line =
	    json_log_begin(gate->proxy->log, LOG_CLASS_STATE, "gate_notice");

	json_line_cstr(line, "upstream", upstream->entry.id);
	json_line_cstr(line, "from", from);
	json_line_bool(line, "limited", upstream->notice.has_rate_limit);
	json_line_bool(
	    line, "limit_invalid", upstream->notice.rate_limit_invalid);
	json_line_int(
	    line, "rate_limit_per_ks", upstream->notice.rate_limit_per_ks);
	json_line_bool(line, "leaving", upstream->notice.leaving);
	json_log_end(line);
}

/*
 * Put the limit that the registered upstream has named in force.
 */
void
gate_apply_rate_limit(struct gate *gate)
{
	const struct upstream_notice *notice = &gate->upstream->notice;

	admission_set_rate_limit(gate->admission,
	    notice->has_rate_limit ? MAX(notice->rate_limit_per_ks, 1) : 0,
	    proxy_now_ms(gate->proxy));
}

/*
 * Record what an upstream says of itself in a response. One that leaves gets no
 * further requests, and the peers are told.
 */
void
gate_record_notice(struct gate *gate, struct upstream *upstream,
    const struct upstream_notice *notice)
{
	bool was_leaving;

	upstream = catalog_current(gate->proxy->catalog, upstream);
	was_leaving = upstream->notice.leaving;
	if (!upstream_notice_update(&upstream->notice, notice))
		return;
	log_notice(gate, upstream, "upstream");
	if (upstream->notice.leaving && !was_leaving)
		catalog_mark_leaving(gate->proxy->catalog,
		    str_from(upstream->entry.id), upstream->entry.started_ms);
	if (upstream != gate->upstream)
		return;
	gate_refresh(gate);
	if (upstream->notice.leaving && !was_leaving)
		heartbeat_announce(gate->proxy->heartbeat);
}

/*
 * Take over the limit that the upstream has named before this process started.
 * A peer tells it with a request. Ignored once the upstream has responded here.
 */
void
gate_adopt_rate_limit(struct gate *gate, uint32_t per_ks)
{
	struct upstream_notice *notice = &gate->upstream->notice;

	if (per_ks == 0 || notice->known || notice->has_rate_limit)
		return;
	notice->has_rate_limit = true;
	notice->rate_limit_per_ks = per_ks;
	log_notice(gate, gate->upstream, "peer");
	gate_apply_rate_limit(gate);
}
