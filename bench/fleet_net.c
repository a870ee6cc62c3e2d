#include <stdlib.h>
#include <string.h>

#include "fleet_net.h"
#include "shared_states.h"
#include "wire/mesh_codec.h"

enum {
	READERS = 3,
	FANOUT = 4,
	HEARTBEAT_MS = 500,
	WATCH_MS = 10000,
	ANSWER_BYTES = 4 * 1024 * 1024,
	TEXT_MAX = 32,
	BYTE_BITS = 8,
	BYTE_MASK = 255,
	REQUEST_KINDS = PLATFORM_READ_HOSTS + 1,
};

struct fleet_node {
	struct fleet_net *net;
	size_t index;
	struct mesh *mesh;
	struct rng *rng;
	struct mesh_transport transport;
	struct mesh_platform platform;
	struct mesh_observer observer;
	bool open[REQUEST_KINDS];
	struct timespec opened[REQUEST_KINDS];
};

struct frame {
	size_t to;
	GBytes *head;
};

static struct fleet_node *
node_of(void *member, size_t offset)
{
	return (struct fleet_node *)((char *)member - offset);
}

/* The index is in the address: 10.A.B.C:7001. */
static size_t
address_index(struct str address)
{
	char text[TEXT_MAX];
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

	if (node->net->lose_states && message->kind == MESH_STATE_PART)
		return;
	frame.to = address_index(address);
	frame.head = mesh_message_encode(message);
	g_array_append_val(node->net->sent, frame);
}

static void
platform_request(struct mesh_platform *platform, enum platform_request request,
    uint64_t after)
{
	struct fleet_node *node =
	    node_of(platform, offsetof(struct fleet_node, platform));
	struct fleet_net *net = node->net;

	g_array_append_val(net->asking, node->index);
	node->open[request] = true;
	node->opened[request] = net->clock.now;
	platform_load_read(&net->load);
}

static void
platform_cancel(struct mesh_platform *platform, enum platform_request request)
{
	node_of(platform, offsetof(struct fleet_node, platform))
	    ->open[request] = false;
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
	struct fleet_net *net = node->net;
	uint64_t held = snapshot_id(mesh_snapshot(node->mesh)).version;
	GPtrArray *list = g_ptr_array_new();
	size_t bytes = 0;

	for (size_t i = held; i < net->log->len; i++) {
		struct publication *one = net->log->pdata[i];

		bytes += g_bytes_get_size(one->json);
		if (list->len > 0 && bytes > ANSWER_BYTES)
			break;
		g_ptr_array_add(list, one);
	}
	mesh_handle_changes(node->mesh, request, list, net->log->len);
	g_ptr_array_unref(list);
}

/* Answer what is due; true while a request of the node is still open. */
static bool
answer_node(struct fleet_node *node)
{
	struct fleet_net *net = node->net;
	bool open = false;

	for (size_t i = 0; i < REQUEST_KINDS; i++) {
		uint64_t held = snapshot_id(mesh_snapshot(node->mesh)).version;
		int64_t waited =
		    timespec_ms_between(node->opened[i], net->clock.now);

		if (!node->open[i])
			continue;
		if (i == PLATFORM_WATCH_CHANGES && held == net->log->len &&
		    waited < WATCH_MS) {
			open = true;
			continue;
		}
		node->open[i] = false;
		if (i == PLATFORM_READ_HOSTS)
			mesh_handle_hosts(
			    node->mesh, net->hosts, net->fleet.upstreams);
		else
			answer_changes(node, (enum platform_request)i);
	}
	return open;
}

static void
answer_platform(struct fleet_net *net)
{
	GArray *asking = net->asking;

	net->asking = g_array_new(FALSE, FALSE, sizeof(size_t));
	for (size_t i = 0; i < asking->len; i++) {
		size_t index = g_array_index(asking, size_t, i);

		if (answer_node(&net->nodes[index]))
			g_array_append_val(net->asking, index);
	}
	g_array_unref(asking);
}

static void
deliver_frames(struct fleet_net *net)
{
	GArray *frames = net->sent;

	net->sent = net->frames;
	net->frames = frames;
	for (size_t i = 0; i < frames->len; i++) {
		struct frame *frame = &g_array_index(frames, struct frame, i);
		size_t len;
		const void *data = g_bytes_get_data(frame->head, &len);
		struct mesh_message *message =
		    mesh_message_decode(str_make(data, len), NULL);

		g_assert(message != NULL);
		mesh_handle_message(net->nodes[frame->to].mesh, message);
		mesh_message_free(message);
		g_bytes_unref(frame->head);
	}
	g_array_set_size(frames, 0);
}

/*
 * Let a tick pass everywhere.
 */
void
fleet_net_tick(struct fleet_net *net)
{
	uint64_t waiting = 0;

	fake_clock_advance_ms(&net->clock, MESH_TICK_MS);
	deliver_frames(net);
	answer_platform(net);
	for (size_t i = 0; i < net->fleet.upstreams; i++)
		mesh_tick(net->nodes[i].mesh);
	if (++net->ticks % FLEET_NET_TICKS_PER_S != 0)
		return;
	for (size_t i = 0; i < net->fleet.upstreams; i++)
		waiting += net->nodes[i].open[PLATFORM_WATCH_CHANGES];
	platform_load_end_second(&net->load, waiting);
}

/*
 * Return the number of nodes that may not serve yet.
 */
size_t
fleet_net_unready(const struct fleet_net *net)
{
	size_t unready = 0;

	for (size_t i = 0; i < net->fleet.upstreams; i++)
		unready += mesh_state(net->nodes[i].mesh) != MESH_READY;
	return unready;
}

/* The name and address of a host as its record has them. */
static void
name_host(struct fleet_net *net, size_t index, struct mesh_host_entry *out)
{
	char *name = g_strdup_printf("host-%05zu", index);
	char *zone = g_strdup_printf("zone-%02zu", index % net->fleet.zones);
	char *address =
	    g_strdup_printf("10.%zu.%zu.%zu:7001", index >> 2 * BYTE_BITS,
		index >> BYTE_BITS & BYTE_MASK, index & BYTE_MASK);

	out->name = str_from(name);
	out->zone = str_from(zone);
	out->node = str_from(address);
}

static void
start_node(struct fleet_net *net, size_t index, size_t seeds)
{
	struct fleet_node *node = &net->nodes[index];
	const struct mesh_host_entry *self = &net->hosts[index];
	struct str addresses[FLEET_NET_SEEDS_MAX];
	struct mesh_settings settings = {
		.host = self->name,
		.zone = self->zone,
		.address = self->node,
		.seeds = addresses,
		.seed_count = seeds,
		.policy = SPREAD_TREE,
		.heartbeat_ms = HEARTBEAT_MS,
		.readers_per_zone = READERS,
		.fanout = FANOUT,
		.incarnation = 1,
	};
	struct mesh_env env = {
		.clock = &net->clock.base,
		.transport = &node->transport,
		.platform = &node->platform,
		.observer = &node->observer,
	};

	for (size_t i = 0; i < seeds; i++)
		addresses[i] =
		    net->hosts[index % net->fleet.zones + i * net->fleet.zones]
			.node;
	node->net = net;
	node->index = index;
	node->rng = rng_seeded_new(index + 1);
	node->transport.ops = &transport_ops;
	node->platform.ops = &platform_ops;
	node->observer.ops = &observer_ops;
	env.rng = node->rng;
	node->mesh = mesh_new(&settings, &env);
}

/*
 * Start all nodes of a fleet at one moment, before a platform that has the
 * fleet's records.
 */
struct fleet_net *
fleet_net_new(const struct fleet *fleet, const struct fleet_start *start)
{
	struct fleet_net *net = g_new0(struct fleet_net, 1);
	size_t nodes = fleet->upstreams;

	net->fleet = *fleet;
	net->lose_states = start->lose_states;
	fake_clock_init(&net->clock);
	net->log = fleet_publications(&net->fleet);
	net->sent = g_array_new(FALSE, FALSE, sizeof(struct frame));
	net->frames = g_array_new(FALSE, FALSE, sizeof(struct frame));
	net->asking = g_array_new(FALSE, FALSE, sizeof(size_t));
	net->hosts = g_new0(struct mesh_host_entry, nodes);
	net->nodes = g_new0(struct fleet_node, nodes);
	for (size_t i = 0; i < nodes; i++)
		name_host(net, i, &net->hosts[i]);
	for (size_t i = 0; i < nodes; i++)
		start_node(net, i, start->seeds);
	return net;
}

/*
 * Free a fleet and the states that its nodes shared.
 */
void
fleet_net_free(struct fleet_net *net)
{
	deliver_frames(net);
	for (size_t i = 0; i < net->fleet.upstreams; i++) {
		mesh_free(net->nodes[i].mesh);
		rng_free(net->nodes[i].rng);
		str_release(&net->hosts[i].name);
		str_release(&net->hosts[i].zone);
		str_release(&net->hosts[i].node);
	}
	for (size_t i = 0; i < net->sent->len; i++)
		g_bytes_unref(g_array_index(net->sent, struct frame, i).head);
	g_array_unref(net->sent);
	g_array_unref(net->frames);
	g_array_unref(net->asking);
	g_ptr_array_unref(net->log);
	g_free(net->nodes);
	g_free(net->hosts);
	g_free(net);
	shared_states_clear();
}

/*
 * Let the operators change one record.
 */
void
fleet_net_publish_change(struct fleet_net *net)
{
	char *record =
	    fleet_upstream(&net->fleet, 0, (unsigned int)net->log->len);
	char *json = g_strdup_printf("{\"set\":[%s]}", record);

	g_ptr_array_add(net->log,
	    publication_new(
		net->log->len + 1, g_bytes_new_take(json, strlen(json))));
	g_free(record);
}
