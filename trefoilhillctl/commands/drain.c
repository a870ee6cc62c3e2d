#include "trefoilhillctl/command.h"

static const struct option no_options[] = { { NULL, 0, NULL, 0 } };

static int
run(struct ctl *ctl)
{
	struct node_request request = { .target = "/v1/drain", .body = "" };
	GPtrArray *responses;
	const char *state = "?";
	int option = ctl_next_option(ctl, &command_drain);
	int status;

	if (ctl_finish_options(ctl, &command_drain, option, &status))
		return status;
	if (ctl->options.nodes->len != 1 || ctl->options.nodes_from_environment)
		return ctl_report_usage_error(ctl, &command_drain,
		    "exactly one --node is required on the command line");
	request.nodes = ctl->options.nodes;
	request.timeout_ms = ctl->options.timeout_ms;
	responses = node_client_query_json(&request);
	status = ctl_report_failures(ctl, responses);
	if (status == CTL_EXIT_SUCCESS) {
		const struct node_response *response = responses->pdata[0];

		json_unpack(response->json, "{s:s}", "state", &state);
		if (ctl->options.json)
			ctl_print_json(ctl,
			    json_pack("{s:s,s:s}", "address", response->address,
				"state", state));
		else
			fprintf(ctl->out,
			    "%s: %s; it exits when its work in flight has "
			    "ended\n",
			    response->address, state);
	}
	g_ptr_array_unref(responses);
	return status;
}

const struct command command_drain = {
	.name = "drain",
	.summary = "stop one node gracefully",
	.arguments = "--node IP:PORT [OPTION]...",
	.usage =
	    "Ask one node to refuse new requests, finish those in flight and\n"
	    "exit. Exactly one --node is required; TREFOILHILL_NODES is\n"
	    "ignored.\n",
	.options = no_options,
	.run = run,
};
