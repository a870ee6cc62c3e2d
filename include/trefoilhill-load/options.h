#ifndef TREFOILHILL_LOAD_OPTIONS_H
#define TREFOILHILL_LOAD_OPTIONS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct load_options {
	GPtrArray *nodes;     /* char *, IP:PORT */
	GPtrArray *upstreams; /* char *, IP:PORT */
	GPtrArray *kinds;     /* struct request_kind */
	double rate;          /* requests per second */
	double duration_s;
	uint32_t timeout_ms;
	uint32_t threads;
	uint32_t connections; /* per target and thread */
	uint32_t in_flight;   /* maximum per thread */
	uint64_t seed;
	bool direct;
	bool json;
	bool per_second;
};

void load_options_parse(struct load_options *options, int argc, char **argv);
void load_options_clear(struct load_options *options);
const GPtrArray *load_options_targets(const struct load_options *options);

#endif
