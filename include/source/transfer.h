#ifndef TREFOILHILL_SOURCE_TRANSFER_H
#define TREFOILHILL_SOURCE_TRANSFER_H

#include <curl/curl.h>

#include "source/answer_reader.h"

/* One request that is open, over one or, for records, several pages. */
struct transfer {
	CURL *easy; /* NULL: not open */
	enum platform_request request;
	GByteArray *body;
	bool too_large;
	struct record_pages *pages;
	unsigned int restarts; /* of a read of records */
};

enum transfer_status {
	TRANSFER_DONE,     /* *answer is set */
	TRANSFER_CONTINUE, /* one more page is needed */
};

void transfer_init(struct transfer *transfer, enum platform_request request);
void transfer_open(struct transfer *transfer,
    const struct http_config_source_settings *settings,
    struct curl_slist *headers, uint64_t after);
void transfer_close(struct transfer *transfer);
enum transfer_status transfer_finish(
    struct transfer *transfer, CURLcode code, struct config_answer **answer);

#endif
