#ifndef TREFOILHILL_STANDIN_UPSTREAM_OPTIONS_H
#define TREFOILHILL_STANDIN_UPSTREAM_OPTIONS_H

#include <stdbool.h>
#include <stdint.h>

struct upstream_options {
	const char *listen; /* IP:PORT */
	const char *name;
	uint32_t slots;
	uint32_t queue_limit;
	uint32_t queue_wait_ms;
	uint32_t connections;
	uint32_t connect_cost_us;
	uint32_t cold_slowdown; /* factor on the work time while cold */
	bool cold;
};

void upstream_options_parse(
    struct upstream_options *options, int argc, char **argv);

#endif
