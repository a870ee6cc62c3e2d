#ifndef TREFOILHILL_SOURCE_RESPONSE_READER_H
#define TREFOILHILL_SOURCE_RESPONSE_READER_H

#include "source/config_source.h"

enum {
	RECORDS_MAX = 1000 * 1000,
	HOSTS_MAX = 100 * 1000,
};

/* Pages of one full read of the records, all of the same revision. */
struct record_pages {
	GArray *records; /* struct raw_record */
	uint64_t revision;
	char *next; /* key of the last record; NULL: the read is complete */
};

struct record_pages *record_pages_new(void);
void record_pages_free(struct record_pages *pages);
bool record_pages_parse(
    struct record_pages *pages, struct str body, GError **error);

struct config_response *config_response_new(enum platform_request request);
struct config_response *config_response_failed(
    enum platform_request request, GError *error);
struct config_response *config_response_changes(
    enum platform_request request, struct str body);
struct config_response *config_response_records(struct record_pages *pages);
struct config_response *config_response_hosts(struct str body);
struct config_response *config_response_compacted(
    enum platform_request request, struct str body);

#endif
