#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "standin-platform/http.h"
#include "standin-upstream/options.h"
#include "standin-upstream/serve.h"
#include "standin-upstream/upstream.h"

enum {
	CONTROL_THREADS = 16,
};

int
main(int argc, char **argv)
{
	struct upstream_options options;
	struct upstream *upstream = NULL;
	struct mg_context *server = NULL;
	GError *error = NULL;
	int status = EXIT_FAILURE;

	upstream_options_parse(&options, argc, argv);
	standin_http_block_signals();
	upstream = upstream_new(&options);
	struct standin_http_settings settings = {
		.listen = options.listen,
		.threads = options.connections + CONTROL_THREADS,
		.connect_cost_us = options.connect_cost_us,
		.handler = serve_request,
		.arg = upstream,
	};
	server = standin_http_start(&settings, &error);
	if (server == NULL) {
		fprintf(stderr, "trefoilhill-standin-upstream: %s\n",
		    error->message);
		goto out;
	}
	standin_http_wait_for_signal();
	status = EXIT_SUCCESS;
out:
	upstream_stop(upstream);
	if (server != NULL)
		mg_stop(server);
	upstream_free(upstream);
	g_clear_error(&error);
	return status;
}
