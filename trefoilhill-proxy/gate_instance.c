#include "trefoilhill-proxy/gate_private.h"

/* Which instance is at the upstream's address. */

enum {
	/* A change in the platform's store is usually known by then. */
	MISMATCH_HOLD_MS = 500,
};

/*
 * Keep the id by which peers may still address the upstream.
 */
void
gate_record_replaced_id(struct gate *gate, const struct upstream *upstream)
{
	if (g_strcmp0(gate->upstream_id, upstream->entry.id) == 0)
		return;
	g_clear_pointer(&gate->replaced_id, g_free);
	if (g_strcmp0(gate->service, upstream->entry.service) == 0)
		gate->replaced_id = g_strdup(gate->upstream_id);
	g_free(gate->service);
	gate->service = g_strdup(upstream->entry.service);
}

/*
 * Ask the upstream for its instance id, and for how long it stays cold: its
 * registration may be older than either. Done after the start of this process,
 * and while the store is out of reach.
 */
void
gate_probe_start(struct gate *gate)
{
	const struct mesh_config *config = catalog_config(gate->proxy->catalog);
	const struct mesh_service *service = config == NULL
	    ? NULL
	    : mesh_config_service(config, gate->upstream->entry.service);

	if (service != NULL)
		instance_probe_start(gate->probe, service->health_path);
}

/*
 * Handle the instance id of the upstream. An unregistered instance gets no
 * requests: its address may serve another service by now, which it doesn't
 * report, and the settings may still name the former one.
 */
void
gate_handle_instance(void *arg, const struct instance_info *info)
{
	struct gate *gate = arg;
	struct upstream *registered =
	    catalog_upstream_at(gate->proxy->catalog, &gate->address);

	if (registered == NULL)
		return;
	if (!str_equal(str_from(registered->entry.id), info->id)) {
		gate_record_mismatch(gate);
		return;
	}
	registered->cold_until_ms = MAX(registered->cold_until_ms,
	    proxy_now_ms(gate->proxy) + info->cold_ms);
	gate_record_notice(gate, registered, &info->notice);
	gate_refresh(gate);
}

/*
 * Tell whether a request for an instance may run here: the instance is the
 * current one, or the one that it replaced for the same service.
 */
bool
gate_accepts_instance(const struct gate *gate, struct str instance)
{
	if (gate->upstream == NULL)
		return false;
	return str_equal(str_from(gate->upstream->entry.id), instance) ||
	    (gate->replaced_id != NULL &&
		str_equal(str_from(gate->replaced_id), instance));
}

/*
 * Record that another instance than the registered one responded. Requests are
 * sent elsewhere for a short time, until its registration is known.
 */
void
gate_record_mismatch(struct gate *gate)
{
	int64_t now_ms = proxy_now_ms(gate->proxy);

	if (gate->mismatch_until_ms <= now_ms)
		gate_log_state(gate, "gate_instance_doubted", true, 0);
	gate->mismatch_until_ms = now_ms + MISMATCH_HOLD_MS;
}
