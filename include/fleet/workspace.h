#ifndef TREFOILHILL_FLEET_WORKSPACE_H
#define TREFOILHILL_FLEET_WORKSPACE_H

#include <stdbool.h>
#include <stdint.h>

/* A tenant of the mesh; immutable once added to a configuration. */
struct workspace {
	char *name;
	bool has_priority;
	uint32_t priority; /* overrides the route's, if there is one */
	double rate_per_s; /* requests through all nodes; 0: unlimited */
	double burst;      /* requests in excess of the rate */
};

/* Return a zeroed workspace, to be freed with workspace_free. */
struct workspace *workspace_new(void);
/* NULL is allowed. */
void workspace_free(struct workspace *workspace);

#endif
