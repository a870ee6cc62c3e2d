#ifndef TREFOILHILL_TESTS_MESH_MATRIX_H
#define TREFOILHILL_TESTS_MESH_MATRIX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "net.h"

enum {
	MATRIX_VICTIMS = 2,
};

/* One cell: a net that was driven to a step, and the faults to strike. */
struct matrix_cell {
	struct net *net;
	size_t victims[MATRIX_VICTIMS];
	bool killed[NET_NODES_MAX]; /* to be started when all heals */
};

/* A point of the protocol; the first victim is who acts in it. */
struct matrix_step {
	const char *name;
	bool (*reach)(struct matrix_cell *cell);
};

struct matrix_fault {
	const char *name;
	void (*inject)(struct matrix_cell *cell, size_t victim);
	/* While it lasts: who must be current all the same. */
	enum {
		CURRENT_ALL,
		CURRENT_OTHERS,
		CURRENT_NONE,
	} current;
};

extern const struct matrix_step matrix_steps[];
extern const size_t matrix_step_count;
extern const struct matrix_fault matrix_faults[];
extern const size_t matrix_fault_count;

void cell_clear_faults(struct matrix_cell *cell);

#endif
