#include <string.h>
#include <xxhash.h>

#include "fixture.h"
#include "net.h"
#include "wire/mesh_codec.h"

enum {
	US_PER_MS = 1000,
	STEP_MS = 1,
	DELAYED_US = 3000000,
	DELAYED_ONE_IN = 4,
	REORDER_MAX_US = 200000,
	HELD_MAX = 512,
};

/* An event that is due at a node. */
struct delivery {
	struct timespec due;
	uint64_t order;
	struct net_node *node;
	void (*run)(struct net_node *, void *);
	GDestroyNotify drop;
	void *data;
};

static int
delivery_compare(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct delivery *left = a;
	const struct delivery *right = b;

	if (timespec_before(left->due, right->due))
		return -1;
	if (timespec_before(right->due, left->due))
		return 1;
	return left->order < right->order ? -1 : left->order > right->order;
}

static void
delivery_free(gpointer data)
{
	struct delivery *delivery = data;

	if (delivery->data != NULL)
		delivery->drop(delivery->data);
	g_free(delivery);
}

static struct timespec
plus_us(struct timespec t, int64_t us)
{
	t = timespec_plus_ms(t, us / US_PER_MS);
	t.tv_nsec += (us % US_PER_MS) * 1000;
	if (t.tv_nsec >= 1000000000) {
		t.tv_nsec -= 1000000000;
		t.tv_sec++;
	}
	return t;
}

void
net_schedule(struct net *net, struct net_node *node, int64_t us,
    void (*run)(struct net_node *, void *), GDestroyNotify drop, void *data)
{
	struct delivery *delivery = g_new0(struct delivery, 1);

	*delivery = (struct delivery){
		.due = plus_us(net->clock.now, us),
		.order = net->next_order++,
		.node = node,
		.run = run,
		.drop = drop,
		.data = data,
	};
	g_sequence_insert_sorted(net->queue, delivery, delivery_compare, NULL);
}

static void
deliver_frame(struct net_node *node, void *data)
{
	GError *error = NULL;
	size_t len;
	const void *bytes = g_bytes_get_data(data, &len);
	struct mesh_message *message;

	if (node->mesh == NULL)
		return;
	message = mesh_message_decode(str_make(bytes, len), &error);
	g_assert_no_error(error);
	node->net->run_digest = XXH3_64bits_withSeed(
	    bytes, len, node->net->run_digest + node->index);
	mesh_handle_message(node->mesh, message);
	mesh_message_free(message);
}

static void
drop_bytes(gpointer data)
{
	g_bytes_unref(data);
}

static struct net_node *
find_node(struct net *net, struct str address)
{
	for (size_t i = 0; i < net->settings.nodes; i++)
		if (str_equal(str_from(net->nodes[i].address), address))
			return &net->nodes[i];
	return NULL;
}

static int64_t
frame_delay_us(struct net *net)
{
	switch (net->delivery_fault) {
	case NET_DELAYED:
		return rng_below(net->rng, DELAYED_ONE_IN) == 0 ? DELAYED_US
								: net->link_us;
	case NET_REORDERED:
		return (int64_t)rng_below(net->rng, REORDER_MAX_US);
	default:
		return net->link_us;
	}
}

static void
transport_send(struct mesh_transport *transport, struct str address,
    const struct mesh_message *message)
{
	struct net_node *from = (struct net_node *)((char *)transport -
	    offsetof(struct net_node, transport));
	struct net *net = from->net;
	struct net_node *to = find_node(net, address);
	GBytes *head = mesh_message_encode(message);
	size_t copies = net->delivery_fault == NET_DUPLICATED ? 2 : 1;

	net->messages++;
	net->sent[message->kind]++;
	net->bytes[message->kind] += g_bytes_get_size(head);
	from->messages_out++;
	from->bytes_out += g_bytes_get_size(head);
	if (to != NULL && !net->cut[from->index][to->index])
		for (size_t i = 0; i < copies; i++)
			net_schedule(net, to, frame_delay_us(net),
			    deliver_frame, drop_bytes, g_bytes_ref(head));
	g_bytes_unref(head);
}

static void
platform_request(struct mesh_platform *platform, enum platform_request request,
    uint64_t after)
{
	net_platform_request((struct net_node *)((char *)platform -
				 offsetof(struct net_node, platform)),
	    request, after);
}

static void
platform_cancel(struct mesh_platform *platform, enum platform_request request)
{
	net_platform_cancel((struct net_node *)((char *)platform -
				offsetof(struct net_node, platform)),
	    request);
}

static bool
has_refused_content(const struct snapshot *snapshot)
{
	for (size_t kind = 0; kind < RECORD_KIND_COUNT; kind++) {
		size_t count;
		struct record *const *records =
		    snapshot_records(snapshot, kind, &count);

		for (size_t i = 0; i < count; i++)
			if (str_has_prefix(records[i]->name, str_from("bad")))
				return true;
	}
	return false;
}

/* Invariants of every state that any process of a host puts in force. */
static void
observer_publish(struct mesh_observer *observer, struct snapshot *snapshot)
{
	struct net_node *node = (struct net_node *)((char *)observer -
	    offsetof(struct net_node, observer));
	struct net *net = node->net;
	struct state_id id = snapshot_id(snapshot);

	bool same_process = node->published_by == node->incarnation;

	if (id.version < node->published.version ||
	    (same_process && state_id_compare(id, node->published) <= 0))
		net->version_regressions++;
	if (net->settings.nodes <= NET_NODES_MAX &&
	    !snapshot_is_consistent(snapshot))
		net->dangling_states++;
	if (has_refused_content(snapshot))
		net->refused_content++;
	node->published = id;
	node->published_by = node->incarnation;
	if (net->handle_publish != NULL)
		net->handle_publish(net, node);
}

static const struct mesh_transport_ops transport_ops = { transport_send };
static const struct mesh_platform_ops platform_ops = { platform_request,
	platform_cancel };
static const struct mesh_observer_ops observer_ops = { observer_publish };

void
net_init(struct net *net, const struct net_settings *settings)
{
	memset(net, 0, sizeof(*net));
	net->settings = *settings;
	net->link_us = 500;
	net->messages_max = UINT64_MAX;
	fake_clock_init(&net->clock);
	net->rng = rng_seeded_new(settings->seed);
	net->queue = g_sequence_new(delivery_free);
	net_platform_init(&net->platform);
	for (size_t i = 0; i < settings->nodes; i++) {
		struct net_node *node = &net->nodes[i];

		node->net = net;
		node->index = i;
		g_snprintf(node->host, NET_NAME_MAX, "h%zu", i);
		g_snprintf(node->zone, NET_NAME_MAX, "z%zu", i % NET_ZONES);
		g_snprintf(node->address, NET_NAME_MAX, "127.0.%zu.%zu:7000",
		    i / 250, i % 250 + 1);
		node->held = g_queue_new();
		node->transport.ops = &transport_ops;
		node->platform.ops = &platform_ops;
		node->observer.ops = &observer_ops;
	}
	for (size_t i = 0; i < settings->seeds; i++)
		net->seeds[i] = str_from(net->nodes[i].address);
}

void
net_release(struct net *net)
{
	for (size_t i = 0; i < net->settings.nodes; i++) {
		net_kill(net, i);
		g_queue_free(net->nodes[i].held);
	}
	g_sequence_free(net->queue);
	net_platform_release(&net->platform);
	rng_free(net->rng);
}

void
net_start(struct net *net, size_t index)
{
	struct net_node *node = &net->nodes[index];
	struct mesh_settings settings = {
		.host = str_from(node->host),
		.zone = str_from(node->zone),
		.address = str_from(node->address),
		.seeds = net->seeds,
		.seed_count = net->settings.seeds,
		.policy = net->settings.policy,
		.heartbeat_ms = 500,
		.readers_per_zone = 2,
		.fanout = 3,
		.incarnation = ++node->incarnation,
	};
	struct mesh_env env = {
		.clock = &net->clock.base,
		.transport = &node->transport,
		.platform = &node->platform,
		.observer = &node->observer,
	};

	g_assert_null(node->mesh);
	node->rng = rng_seeded_new(rng_next(net->rng));
	env.rng = node->rng;
	node->mesh = mesh_new(&settings, &env);
}

void
net_start_all(struct net *net)
{
	for (size_t i = 0; i < net->settings.nodes; i++)
		net_start(net, i);
}

void
net_kill(struct net *net, size_t index)
{
	struct net_node *node = &net->nodes[index];

	net->platform.watches[index].node = NULL;
	g_queue_clear_full(node->held, delivery_free);
	node->frozen = false;
	mesh_free(node->mesh);
	node->mesh = NULL;
	rng_free(node->rng);
	node->rng = NULL;
}

void
net_freeze(struct net *net, size_t index, bool frozen)
{
	struct net_node *node = &net->nodes[index];
	struct delivery *delivery;

	if (node->mesh == NULL)
		return;
	node->frozen = frozen;
	while (!frozen && (delivery = g_queue_pop_head(node->held)) != NULL) {
		delivery->run(node, delivery->data);
		delivery_free(delivery);
	}
}

void
net_cut_node(struct net *net, size_t index, bool in, bool out)
{
	for (size_t i = 0; i < net->settings.nodes; i++) {
		net->cut[i][index] |= in;
		net->cut[index][i] |= out;
	}
}

void
net_cut_zone(struct net *net, size_t zone, bool cut)
{
	for (size_t i = 0; i < net->settings.nodes; i++)
		for (size_t j = 0; j < net->settings.nodes; j++)
			if ((i % NET_ZONES == zone) != (j % NET_ZONES == zone))
				net->cut[i][j] = cut;
}

void
net_restore_links(struct net *net)
{
	memset(net->cut, 0, sizeof(net->cut));
	net->delivery_fault = NET_IN_ORDER;
}

static void
deliver_due(struct net *net)
{
	for (;;) {
		GSequenceIter *first = g_sequence_get_begin_iter(net->queue);
		struct delivery *delivery;
		struct net_node *node;

		if (g_sequence_iter_is_end(first))
			return;
		delivery = g_sequence_get(first);
		if (timespec_before(net->clock.now, delivery->due) ||
		    net->messages > net->messages_max)
			return;
		node = delivery->node;
		if (node->frozen && node->held->length < HELD_MAX) {
			struct delivery *held =
			    g_memdup2(delivery, sizeof(*delivery));

			delivery->data = NULL;
			g_queue_push_tail(node->held, held);
		} else if (!node->frozen && node->mesh != NULL) {
			delivery->run(node, delivery->data);
		}
		g_sequence_remove(first);
	}
}

void
net_run(struct net *net, int64_t ms)
{
	for (int64_t t = 0; t < ms; t += STEP_MS) {
		int64_t now;

		if (net->messages > net->messages_max)
			return;

		fake_clock_advance_ms(&net->clock, STEP_MS);
		now =
		    timespec_ms_between((struct timespec){ 0 }, net->clock.now);
		net_platform_step(net);
		deliver_due(net);
		for (size_t i = 0; i < net->settings.nodes; i++) {
			struct net_node *node = &net->nodes[i];

			if (node->mesh != NULL && !node->frozen &&
			    (now + (int64_t)i) % MESH_TICK_MS == 0)
				mesh_tick(node->mesh);
		}
	}
}

uint64_t
net_version(const struct net *net, size_t index)
{
	const struct mesh *mesh = net->nodes[index].mesh;

	return mesh == NULL ? 0 : snapshot_id(mesh_snapshot(mesh)).version;
}

bool
net_is_converged(const struct net *net)
{
	struct state_id first = { 0 };

	for (size_t i = 0; i < net->settings.nodes; i++) {
		const struct net_node *node = &net->nodes[i];
		struct state_id id;

		if (node->mesh == NULL || mesh_state(node->mesh) != MESH_READY)
			return false;
		id = snapshot_id(mesh_snapshot(node->mesh));
		if (i == 0)
			first = id;
		if (id.version != net_platform_head(&net->platform) ||
		    state_id_compare(id, first) != 0 ||
		    state_id_compare(id, node->published) != 0)
			return false;
	}
	return true;
}

int64_t
net_run_until_converged(struct net *net, int64_t limit_ms)
{
	for (int64_t ms = 0; ms <= limit_ms; ms += STEP_MS) {
		if (net_is_converged(net))
			return ms;
		net_run(net, STEP_MS);
	}
	return -1;
}
