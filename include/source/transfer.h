#ifndef TREFOILHILL_SOURCE_TRANSFER_H
#define TREFOILHILL_SOURCE_TRANSFER_H

#include <curl/curl.h>

#include "source/response_reader.h"

/* One platform request; a read of records may span several HTTP requests. */
struct transfer {
	CURL *easy; /* NULL: no HTTP request in progress */
	enum platform_request request;
	GByteArray *body;
	bool too_large;
	struct record_pages *pages;
	unsigned int restarts; /* of this read of records */
};

enum transfer_status {
	TRANSFER_DONE,     /* *response is set */
	TRANSFER_CONTINUE, /* open again for one more page */
};

void transfer_init(struct transfer *transfer, enum platform_request request);
void transfer_open(struct transfer *transfer,
    const struct http_config_source_settings *settings,
    struct curl_slist *headers, uint64_t after);
void transfer_close(struct transfer *transfer);
enum transfer_status transfer_finish(struct transfer *transfer, CURLcode code,
    struct config_response **response);

#endif
