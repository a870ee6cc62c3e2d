#include "net.h"

static const char *
zone_state_name(bool out)
{
	return out ? "out" : "in";
}

static void
append_host(
    GString *json, const char *host, const char *zone, const char *address)
{
	g_string_append_printf(json,
	    ",{\"schema\":2,\"kind\":\"host\",\"name\":\"%s\","
	    "\"zone\":\"%s\",\"node\":\"%s\",\"state\":\"in\"}",
	    host, zone, address);
}

/*
 * Publish all zones and hosts of the network, and extra hosts without a
 * process.
 */
void
net_publish_fleet(struct net *net, size_t extra_hosts)
{
	GString *json = g_string_new("{\"set\":["
				     "{\"schema\":2,\"kind\":\"service\","
				     "\"name\":\"orders\","
				     "\"timeout_ms\":2000}");

	for (size_t i = 0; i < NET_ZONES; i++)
		g_string_append_printf(json,
		    ",{\"schema\":2,\"kind\":\"zone\",\"name\":\"z%zu\","
		    "\"state\":\"in\"}",
		    i);
	for (size_t i = 0; i < net->settings.nodes; i++)
		append_host(json, net->nodes[i].host, net->nodes[i].zone,
		    net->nodes[i].address);
	for (size_t i = 0; i < extra_hosts; i++) {
		char host[NET_NAME_MAX];
		char address[NET_NAME_MAX];
		char zone[NET_NAME_MAX];

		g_snprintf(host, NET_NAME_MAX, "x%zu", i);
		g_snprintf(zone, NET_NAME_MAX, "z%zu", i % NET_ZONES);
		g_snprintf(address, NET_NAME_MAX, "127.1.%zu.%zu:7000", i / 250,
		    i % 250 + 1);
		append_host(json, host, zone, address);
	}
	g_string_append(json, "]}");
	net_platform_publish(net, json->str);
	g_string_free(json, TRUE);
}

/* Publish an upstream, and a route to its service. */
void
net_publish_change(struct net *net)
{
	uint64_t revision = net_platform_head(&net->platform) + 1;
	char *json = g_strdup_printf(
	    "{\"set\":[{\"schema\":2,\"kind\":\"upstream\",\"name\":\"u%d\","
	    "\"service\":\"orders\",\"host\":\"h%d\","
	    "\"address\":\"127.0.0.1:%d\",\"slots\":12,\"connections\":120},"
	    "{\"schema\":1,\"kind\":\"route\",\"name\":\"r%d\","
	    "\"service\":\"orders\",\"host_header\":\"a%d\"}]}",
	    (int)(revision % 50), (int)(revision % net->settings.nodes),
	    (int)(8000 + revision % 1000), (int)(revision % 7),
	    (int)(revision % 7));

	net_platform_publish(net, json);
	g_free(json);
}

/*
 * Publish a valid record and one that names an unknown service. The publication
 * must be refused as a whole.
 */
void
net_publish_refused(struct net *net)
{
	net_platform_publish(net,
	    "{\"set\":[{\"schema\":2,\"kind\":\"service\","
	    "\"name\":\"bad-service\",\"timeout_ms\":1000},"
	    "{\"schema\":2,\"kind\":\"route\",\"name\":\"bad-route\","
	    "\"service\":\"unknown\",\"authority\":\"bad\"}]}");
}

void
net_publish_zone_state(struct net *net, size_t zone, bool out)
{
	char *json = g_strdup_printf("{\"set\":[{\"schema\":2,"
				     "\"kind\":\"zone\",\"name\":\"z%zu\","
				     "\"state\":\"%s\"}]}",
	    zone, zone_state_name(out));

	net_platform_publish(net, json);
	g_free(json);
}
