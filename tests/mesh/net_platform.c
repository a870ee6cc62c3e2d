#include <jansson.h>
#include <string.h>

#include "net.h"

enum {
	RESPONSE_DELAY_US = 2000,
	WATCH_MS = 5000,
	RESPONSE_PUBLICATIONS_MAX = 100,
};

struct response {
	struct mesh *mesh; /* process that sent the request */
	enum platform_request request;
	bool failed;
	bool compacted;
	GPtrArray *publications;
	uint64_t head;
};

struct raw_entry {
	uint64_t revision;
	json_t *record;
};

static void
raw_entry_free(gpointer data)
{
	struct raw_entry *entry = data;

	json_decref(entry->record);
	g_free(entry);
}

void
net_platform_init(struct net_platform *platform)
{
	*platform = (struct net_platform){ 0 };
	platform->log =
	    g_ptr_array_new_with_free_func((GDestroyNotify)publication_unref);
	platform->records = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, raw_entry_free);
}

void
net_platform_release(struct net_platform *platform)
{
	g_ptr_array_unref(platform->log);
	g_hash_table_destroy(platform->records);
}

uint64_t
net_platform_head(const struct net_platform *platform)
{
	return platform->log->len;
}

static char *
record_key(const json_t *record)
{
	return g_strdup_printf("%s/%s",
	    json_string_value(json_object_get(record, "kind")),
	    json_string_value(json_object_get(record, "name")));
}

void
net_platform_publish(struct net *net, const char *json)
{
	struct net_platform *platform = &net->platform;
	uint64_t revision = platform->log->len + 1;
	json_t *root = json_loads(json, 0, NULL);
	json_t *record;
	size_t i;

	g_assert(root != NULL);
	json_array_foreach (json_object_get(root, "set"), i, record) {
		struct raw_entry *entry = g_new0(struct raw_entry, 1);

		entry->revision = revision;
		entry->record = json_incref(record);
		g_hash_table_replace(
		    platform->records, record_key(record), entry);
	}
	json_array_foreach (json_object_get(root, "remove"), i, record) {
		char *key = record_key(record);

		g_hash_table_remove(platform->records, key);
		g_free(key);
	}
	json_decref(root);
	g_ptr_array_add(platform->log,
	    publication_new(revision, g_bytes_new(json, strlen(json))));
}

static uint64_t
visible_head(const struct net_platform *platform)
{
	uint64_t head = net_platform_head(platform);

	return platform->stale_at > 0 ? MIN(platform->stale_at, head) : head;
}

static void
response_free(gpointer data)
{
	struct response *response = data;

	if (response->publications != NULL)
		g_ptr_array_unref(response->publications);
	g_free(response);
}

static void
deliver_records(struct net_node *node, const struct response *response)
{
	struct net_platform *platform = &node->net->platform;
	size_t count = g_hash_table_size(platform->records);
	struct raw_record *raw = g_new0(struct raw_record, count);
	GList *keys = g_list_sort(
	    g_hash_table_get_keys(platform->records), (GCompareFunc)strcmp);
	size_t i = 0;

	for (GList *key = keys; key != NULL; key = key->next) {
		struct raw_entry *entry =
		    g_hash_table_lookup(platform->records, key->data);

		raw[i].revision = entry->revision;
		raw[i++].record = entry->record;
	}
	mesh_handle_records(
	    node->mesh, raw, count, net_platform_head(platform));
	g_list_free(keys);
	g_free(raw);
}

static void
deliver_hosts(struct net_node *node)
{
	struct net *net = node->net;
	struct mesh_host_entry hosts[NET_NODES_MAX];

	for (size_t i = 0; i < net->settings.nodes; i++)
		hosts[i] = (struct mesh_host_entry){
			.name = str_from(net->nodes[i].host),
			.zone = str_from(net->nodes[i].zone),
			.node = str_from(net->nodes[i].address),
		};
	mesh_handle_hosts(node->mesh, hosts,
	    net->platform.no_hosts ? 0 : net->settings.nodes);
}

static void
deliver_response(struct net_node *node, void *data)
{
	struct response *response = data;

	if (node->mesh != response->mesh)
		return;
	if (response->failed)
		mesh_handle_platform_failed(node->mesh, response->request);
	else if (response->compacted)
		mesh_handle_compacted(
		    node->mesh, response->request, response->head);
	else if (response->request == PLATFORM_READ_RECORDS)
		deliver_records(node, response);
	else if (response->request == PLATFORM_READ_HOSTS)
		deliver_hosts(node);
	else
		mesh_handle_changes(node->mesh, response->request,
		    response->publications, response->head);
}

static bool
is_unreachable(const struct net_node *node)
{
	const struct net_platform *platform = &node->net->platform;

	return platform->down || platform->cut[node->index];
}

/* Add the changes after a version to a response. */
static void
fill_changes(const struct net_platform *platform, uint64_t after,
    struct response *response)
{
	uint64_t head = visible_head(platform);
	uint64_t all = net_platform_head(platform);
	uint64_t oldest = platform->log_limit > 0 && all > platform->log_limit
	    ? all - platform->log_limit + 1
	    : 1;

	response->head = head;
	if (after + 1 < oldest) {
		response->compacted = true;
		response->head = oldest;
		return;
	}
	response->publications =
	    g_ptr_array_new_with_free_func((GDestroyNotify)publication_unref);
	for (uint64_t v = after + 1; v <= head &&
	     response->publications->len < RESPONSE_PUBLICATIONS_MAX;
	     v++)
		g_ptr_array_add(response->publications,
		    publication_ref(platform->log->pdata[v - 1]));
}

static void
send_response(struct net_node *node, struct mesh *mesh,
    enum platform_request request, uint64_t after)
{
	struct response *response = g_new0(struct response, 1);

	response->mesh = mesh;
	response->request = request;
	response->failed = is_unreachable(node);
	if (!response->failed && request <= PLATFORM_WATCH_CHANGES)
		fill_changes(&node->net->platform, after, response);
	net_schedule(node->net, node, RESPONSE_DELAY_US, deliver_response,
	    response_free, response);
}

static void
begin_watch(struct net_node *node, uint64_t after)
{
	struct net_platform *platform = &node->net->platform;
	struct net_watch *watch = &platform->watches[node->index];

	*watch = (struct net_watch){
		.node = node,
		.mesh = node->mesh,
		.after = after,
		.until_ms = timespec_ms_between(
				(struct timespec){ 0 }, node->net->clock.now) +
		    WATCH_MS,
	};
}

void
net_platform_request(
    struct net_node *node, enum platform_request request, uint64_t after)
{
	struct net_platform *platform = &node->net->platform;

	platform->reads++;
	if (request == PLATFORM_WATCH_CHANGES && !is_unreachable(node) &&
	    visible_head(platform) <= after)
		begin_watch(node, after);
	else
		send_response(node, node->mesh, request, after);
}

void
net_platform_cancel(struct net_node *node, enum platform_request request)
{
	if (request == PLATFORM_WATCH_CHANGES)
		node->net->platform.watches[node->index].node = NULL;
}

void
net_platform_step(struct net *net)
{
	struct net_platform *platform = &net->platform;
	int64_t now =
	    timespec_ms_between((struct timespec){ 0 }, net->clock.now);

	for (size_t i = 0; i < net->settings.nodes; i++) {
		struct net_watch *watch = &platform->watches[i];
		struct net_node *node = watch->node;

		if (node == NULL)
			continue;
		if (!is_unreachable(node) && now < watch->until_ms &&
		    visible_head(platform) <= watch->after)
			continue;
		watch->node = NULL;
		send_response(
		    node, watch->mesh, PLATFORM_WATCH_CHANGES, watch->after);
	}
}
