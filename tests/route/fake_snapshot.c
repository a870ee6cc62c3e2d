#include <stdio.h>
#include <string.h>

#include "fake_snapshot.h"

void
fake_snapshot_init(
    struct snapshot *snapshot, const char *const *zones, size_t count)
{
	memset(snapshot, 0, sizeof(*snapshot));
	snapshot->view.upstreams = snapshot->upstream_list;
	snapshot->view.hosts = snapshot->host_list;
	snapshot->view.upstream_count = count;
	for (size_t i = 0; i < count; i++) {
		snprintf(
		    snapshot->names[i], sizeof(snapshot->names[i]), "u%zu", i);
		snapshot->upstreams[i].name = str_from(snapshot->names[i]);
		snapshot->hosts[i].host.zone = str_from(zones[i]);
		snapshot->upstream_list[i] = &snapshot->upstreams[i];
		snapshot->host_list[i] = &snapshot->hosts[i];
	}
}

const struct service_view *
snapshot_service(const struct snapshot *snapshot, struct str service)
{
	return str_equal(service, str_from("vault")) ? &snapshot->view : NULL;
}

bool
snapshot_host_is_out(const struct snapshot *snapshot, const struct record *host)
{
	return host->host.out;
}

const struct record *
snapshot_find(
    const struct snapshot *snapshot, enum record_kind kind, struct str name)
{
	for (size_t i = 0; i < snapshot->view.upstream_count; i++)
		if (!snapshot->removed[i] &&
		    str_equal(snapshot->upstreams[i].name, name))
			return &snapshot->upstreams[i];
	return NULL;
}
