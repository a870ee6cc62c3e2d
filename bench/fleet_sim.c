#include <stdlib.h>
#include <string.h>

#include "fleet_sim.h"
#include "snapshot_cache.h"
#include "wire/mesh_codec.h"

enum {
	READERS_PER_ZONE = 3,
	FANOUT = 4,
	HEARTBEAT_MS = 500,
	WATCH_TIMEOUT_MS = 10000,
	RESPONSE_BYTES_MAX = 4 * 1024 * 1024,
	ADDRESS_TEXT_MAX = 32,
	BYTE_BITS = 8,
	BYTE_MASK = 255,
	REQUEST_KINDS = PLATFORM_READ_HOSTS + 1,
};

struct fleet_node {
	struct fleet_sim *sim;
	size_t index;
	struct mesh *mesh;
	struct rng *rng;
	struct mesh_transport transport;
	struct mesh_platform platform;
	struct mesh_observer observer;
	bool pending[REQUEST_KINDS];
	struct timespec requested_at[REQUEST_KINDS];
};

struct frame {
	size_t destination;
	GBytes *encoded;
};

static struct fleet_node *
node_of(void *member, size_t offset)
{
	return (struct fleet_node *)((char *)member - offset);
}

/* Return the host index encoded in an address 10.A.B.C:7001. */
static size_t
address_index(struct str address)
{
	char text[ADDRESS_TEXT_MAX];
	char *at = text;
	size_t index;

	g_assert(address.len < sizeof(text));
	memcpy(text, address.ptr, address.len);
	text[address.len] = '\0';
	strtoul(at, &at, 10);
	index = strtoul(at + 1, &at, 10);
	index = index << BYTE_BITS | strtoul(at + 1, &at, 10);
	return index << BYTE_BITS | strtoul(at + 1, &at, 10);
}

static void
transport_send(struct mesh_transport *transport, struct str address,
    const struct mesh_message *message)
{
	struct fleet_node *node =
	    node_of(transport, offsetof(struct fleet_node, transport));
	struct frame frame = { 0 };

	if (node->sim->drop_states && message->kind == MESH_STATE_PART)
		return;
	frame.destination = address_index(address);
	frame.encoded = mesh_message_encode(message);
	g_array_append_val(node->sim->sent_frames, frame);
}

static void
platform_request(struct mesh_platform *platform, enum platform_request request,
    uint64_t after)
{
	struct fleet_node *node =
	    node_of(platform, offsetof(struct fleet_node, platform));
	struct fleet_sim *sim = node->sim;

	g_array_append_val(sim->pending_nodes, node->index);
	node->pending[request] = true;
	node->requested_at[request] = sim->clock.now;
	platform_load_add_read(&sim->load);
}

static void
platform_cancel(struct mesh_platform *platform, enum platform_request request)
{
	node_of(platform, offsetof(struct fleet_node, platform))
	    ->pending[request] = false;
}

static void
observer_publish(struct mesh_observer *observer, struct snapshot *snapshot)
{
}

static const struct mesh_transport_ops transport_ops = { transport_send };
static const struct mesh_platform_ops platform_ops = { platform_request,
	platform_cancel };
static const struct mesh_observer_ops observer_ops = { observer_publish };

static void
answer_changes(struct fleet_node *node, enum platform_request request)
{
	struct fleet_sim *sim = node->sim;
	uint64_t version = snapshot_id(mesh_snapshot(node->mesh)).version;
	GPtrArray *list = g_ptr_array_new();
	size_t bytes = 0;

	for (size_t i = version; i < sim->log->len; i++) {
		struct publication *publication = sim->log->pdata[i];

		bytes += g_bytes_get_size(publication->json);
		if (list->len > 0 && bytes > RESPONSE_BYTES_MAX)
			break;
		g_ptr_array_add(list, publication);
	}
	mesh_handle_changes(node->mesh, request, list, sim->log->len);
	g_ptr_array_unref(list);
}

/* Answer the requests that are due; return whether a watch is still pending. */
static bool
answer_node_requests(struct fleet_node *node)
{
	struct fleet_sim *sim = node->sim;
	bool pending = false;

	for (size_t i = 0; i < REQUEST_KINDS; i++) {
		uint64_t version =
		    snapshot_id(mesh_snapshot(node->mesh)).version;
		int64_t waited =
		    timespec_ms_between(node->requested_at[i], sim->clock.now);

		if (!node->pending[i])
			continue;
		if (i == PLATFORM_WATCH_CHANGES && version == sim->log->len &&
		    waited < WATCH_TIMEOUT_MS) {
			pending = true;
			continue;
		}
		node->pending[i] = false;
		if (i == PLATFORM_READ_HOSTS)
			mesh_handle_hosts(
			    node->mesh, sim->hosts, sim->fleet.upstreams);
		else
			answer_changes(node, (enum platform_request)i);
	}
	return pending;
}

static void
answer_platform_requests(struct fleet_sim *sim)
{
	GArray *pending_nodes = sim->pending_nodes;

	sim->pending_nodes = g_array_new(FALSE, FALSE, sizeof(size_t));
	for (size_t i = 0; i < pending_nodes->len; i++) {
		size_t index = g_array_index(pending_nodes, size_t, i);

		if (answer_node_requests(&sim->nodes[index]))
			g_array_append_val(sim->pending_nodes, index);
	}
	g_array_unref(pending_nodes);
}

static void
deliver_frames(struct fleet_sim *sim)
{
	GArray *due_frames = sim->sent_frames;

	sim->sent_frames = sim->due_frames;
	sim->due_frames = due_frames;
	for (size_t i = 0; i < due_frames->len; i++) {
		struct frame *frame =
		    &g_array_index(due_frames, struct frame, i);
		size_t len;
		const void *data = g_bytes_get_data(frame->encoded, &len);
		struct mesh_message *message =
		    mesh_message_decode(str_make(data, len), NULL);

		g_assert(message != NULL);
		mesh_handle_message(
		    sim->nodes[frame->destination].mesh, message);
		mesh_message_free(message);
		g_bytes_unref(frame->encoded);
	}
	g_array_set_size(due_frames, 0);
}

/*
 * Advance the clock by MESH_TICK_MS, deliver frames and platform responses, and
 * run the tick of every node.
 */
void
fleet_sim_tick(struct fleet_sim *sim)
{
	uint64_t pending_watches = 0;

	fake_clock_advance_ms(&sim->clock, MESH_TICK_MS);
	deliver_frames(sim);
	answer_platform_requests(sim);
	for (size_t i = 0; i < sim->fleet.upstreams; i++)
		mesh_tick(sim->nodes[i].mesh);
	if (++sim->ticks % FLEET_SIM_TICKS_PER_S != 0)
		return;
	for (size_t i = 0; i < sim->fleet.upstreams; i++)
		pending_watches +=
		    sim->nodes[i].pending[PLATFORM_WATCH_CHANGES];
	platform_load_end_second(&sim->load, pending_watches);
}

/*
 * Return the number of nodes that are not ready.
 */
size_t
fleet_sim_unready_count(const struct fleet_sim *sim)
{
	size_t unready = 0;

	for (size_t i = 0; i < sim->fleet.upstreams; i++)
		unready += mesh_state(sim->nodes[i].mesh) != MESH_READY;
	return unready;
}

/* Set the name, zone and address of a host as in its record. */
static void
init_host(struct fleet_sim *sim, size_t index, struct mesh_host_entry *out)
{
	char *name = g_strdup_printf("host-%05zu", index);
	char *zone = g_strdup_printf("zone-%02zu", index % sim->fleet.zones);
	char *address =
	    g_strdup_printf("10.%zu.%zu.%zu:7001", index >> 2 * BYTE_BITS,
		index >> BYTE_BITS & BYTE_MASK, index & BYTE_MASK);

	out->name = str_from(name);
	out->zone = str_from(zone);
	out->node = str_from(address);
}

static void
start_node(struct fleet_sim *sim, size_t index, size_t seeds)
{
	struct fleet_node *node = &sim->nodes[index];
	const struct mesh_host_entry *self = &sim->hosts[index];
	struct str addresses[FLEET_SIM_SEEDS_MAX];
	struct mesh_settings settings = {
		.host = self->name,
		.zone = self->zone,
		.address = self->node,
		.seeds = addresses,
		.seed_count = seeds,
		.policy = SPREAD_TREE,
		.heartbeat_ms = HEARTBEAT_MS,
		.readers_per_zone = READERS_PER_ZONE,
		.fanout = FANOUT,
		.incarnation = 1,
	};
	struct mesh_env env = {
		.clock = &sim->clock.base,
		.transport = &node->transport,
		.platform = &node->platform,
		.observer = &node->observer,
	};

	for (size_t i = 0; i < seeds; i++)
		addresses[i] =
		    sim->hosts[index % sim->fleet.zones + i * sim->fleet.zones]
			.node;
	node->sim = sim;
	node->index = index;
	node->rng = rng_seeded_new(index + 1);
	node->transport.ops = &transport_ops;
	node->platform.ops = &platform_ops;
	node->observer.ops = &observer_ops;
	env.rng = node->rng;
	node->mesh = mesh_new(&settings, &env);
}

/*
 * Start all nodes of a fleet at the same time, with a platform that already has
 * the fleet's publications. The caller frees the result with fleet_sim_free.
 */
struct fleet_sim *
fleet_sim_new(
    const struct fleet *fleet, const struct fleet_sim_options *options)
{
	struct fleet_sim *sim = g_new0(struct fleet_sim, 1);
	size_t nodes = fleet->upstreams;

	sim->fleet = *fleet;
	sim->drop_states = options->drop_states;
	fake_clock_init(&sim->clock);
	sim->log = fleet_publications(&sim->fleet);
	sim->sent_frames = g_array_new(FALSE, FALSE, sizeof(struct frame));
	sim->due_frames = g_array_new(FALSE, FALSE, sizeof(struct frame));
	sim->pending_nodes = g_array_new(FALSE, FALSE, sizeof(size_t));
	sim->hosts = g_new0(struct mesh_host_entry, nodes);
	sim->nodes = g_new0(struct fleet_node, nodes);
	for (size_t i = 0; i < nodes; i++)
		init_host(sim, i, &sim->hosts[i]);
	for (size_t i = 0; i < nodes; i++)
		start_node(sim, i, options->seeds);
	return sim;
}

/*
 * Free a simulated fleet and clear the snapshot cache.
 */
void
fleet_sim_free(struct fleet_sim *sim)
{
	deliver_frames(sim);
	for (size_t i = 0; i < sim->fleet.upstreams; i++) {
		mesh_free(sim->nodes[i].mesh);
		rng_free(sim->nodes[i].rng);
		str_release(&sim->hosts[i].name);
		str_release(&sim->hosts[i].zone);
		str_release(&sim->hosts[i].node);
	}
	for (size_t i = 0; i < sim->sent_frames->len; i++)
		g_bytes_unref(
		    g_array_index(sim->sent_frames, struct frame, i).encoded);
	g_array_unref(sim->sent_frames);
	g_array_unref(sim->due_frames);
	g_array_unref(sim->pending_nodes);
	g_ptr_array_unref(sim->log);
	g_free(sim->nodes);
	g_free(sim->hosts);
	g_free(sim);
	snapshot_cache_clear();
}

/*
 * Publish a change of one upstream record on the platform.
 */
void
fleet_sim_publish_change(struct fleet_sim *sim)
{
	char *record =
	    fleet_upstream(&sim->fleet, 0, (unsigned int)sim->log->len);
	char *json = g_strdup_printf("{\"set\":[%s]}", record);

	g_ptr_array_add(sim->log,
	    publication_new(
		sim->log->len + 1, g_bytes_new_take(json, strlen(json))));
	g_free(record);
}
