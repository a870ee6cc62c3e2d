#ifndef TREFOILHILL_TESTS_MESH_MATRIX_H
#define TREFOILHILL_TESTS_MESH_MATRIX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "net.h"

enum {
	MATRIX_VICTIMS = 2,
};

/*
 * One test case of the matrix: a network driven to a step, and the victims of
 * the faults.
 */
struct matrix_cell {
	struct net *net;
	size_t victims[MATRIX_VICTIMS];
	bool killed[NET_NODES_MAX]; /* restart when faults are cleared */
};

/* A point of the protocol; the first victim is the node that acts in it. */
struct matrix_step {
	const char *name;
	bool (*reach)(struct matrix_cell *cell);
};

struct matrix_fault {
	const char *name;
	void (*inject)(struct matrix_cell *cell, size_t victim);
	/* Nodes that must be current in spite of the fault, while it lasts. */
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
