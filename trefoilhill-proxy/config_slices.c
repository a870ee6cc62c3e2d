#include "guard/lag_policy.h"
#include "platform/codec.h"
#include "trefoilhill-proxy/config_slices.h"
#include "trefoilhill-proxy/gate.h"
#include "trefoilhill-proxy/loop_lag.h"

enum {
	/* Smaller ones, of some 50 routes, are decoded within one slice. */
	SLICED_MIN_BYTES = 16 * 1024,
	NS_PER_US = 1000,
};

struct config_slices {
	uv_idle_t *idle; /* active while a configuration is being decoded */
	struct proxy *proxy;
	struct config_decoder *decoder; /* NULL: none is being decoded */
	struct catalog_origin origin;
	/* Since when the one in force is outdated, across superseded ones. */
	int64_t outdated_ms;
};

/*
 * Return a decoder of configurations that is at rest.
 */
struct config_slices *
config_slices_new(struct proxy *proxy)
{
	struct config_slices *slices = g_new0(struct config_slices, 1);

	slices->proxy = proxy;
	slices->idle = g_new0(uv_idle_t, 1);
	uv_idle_init(proxy->loop, slices->idle);
	slices->idle->data = slices;
	return slices;
}

static void
handle_idle_closed(uv_handle_t *handle)
{
	g_free(handle);
}

/*
 * Free it and drop what is being decoded. NULL is allowed.
 */
void
config_slices_free(struct config_slices *slices)
{
	if (slices == NULL)
		return;
	uv_close((uv_handle_t *)slices->idle, handle_idle_closed);
	config_decoder_free(slices->decoder);
	g_free(slices);
}

/*
 * Tell whether a configuration is being decoded.
 */
bool
config_slices_is_pending(const struct config_slices *slices)
{
	return slices->decoder != NULL;
}

/* Put the decoded configuration in force, or report that it is invalid. */
static void
finish(struct config_slices *slices)
{
	struct proxy *proxy = slices->proxy;
	struct catalog_change change;

	uv_idle_stop(slices->idle);
	platform_end_config(g_steal_pointer(&slices->decoder), &change);
	slices->origin.now_ms = proxy_now_ms(proxy);
	catalog_apply(proxy->catalog, &change, &slices->origin);
	catalog_change_clear(&change);
	gate_refresh(proxy->gate);
}

/* Decode one slice. */
static void
handle_idle(uv_idle_t *idle)
{
	struct config_slices *slices = idle->data;
	struct proxy *proxy = slices->proxy;
	int64_t budget_us =
	    lag_policy_slice_us(loop_lag_expected_ms(proxy->loop_lag),
		proxy_now_ms(proxy) - slices->outdated_ms);
	uint64_t begun_ns = uv_hrtime();
	bool more;

	proxy_count(&proxy->stats, STAT_CONFIG_SLICES);
	do {
		more = config_decoder_step(slices->decoder);
	} while (more &&
	    (int64_t)((uv_hrtime() - begun_ns) / NS_PER_US) < budget_us);
	if (!more)
		finish(slices);
}

/*
 * Start decoding a configuration. What is being decoded is older and is
 * dropped; the time since which it was due counts on, so that a series of
 * versions can't keep all of them out of force. Before the first configuration
 * no requests are served, so that is applied in one go.
 */
bool
config_slices_begin(struct config_slices *slices,
    const struct replica_item *item, const struct catalog_origin *origin)
{
	struct proxy *proxy = slices->proxy;
	struct mesh_config *last = catalog_config(proxy->catalog);

	if (!platform_is_config_key(item->key) || item->value == NULL)
		return false;
	if (slices->decoder == NULL) {
		slices->outdated_ms = proxy_now_ms(proxy);
	} else {
		proxy_count(&proxy->stats, STAT_CONFIG_SUPERSEDED);
		config_decoder_free(slices->decoder);
		slices->decoder = NULL;
		uv_idle_stop(slices->idle);
	}
	if (last == NULL || g_bytes_get_size(item->value) < SLICED_MIN_BYTES)
		return false;
	slices->origin = *origin;
	slices->decoder = config_decoder_begin(item->value, last);
	uv_idle_start(slices->idle, handle_idle);
	return true;
}
