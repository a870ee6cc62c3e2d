#ifndef TREFOILHILL_TESTS_HARNESS_H
#define TREFOILHILL_TESTS_HARNESS_H

#include <CUnit/CUnit.h>

struct test_case {
	const char *name;
	void (*run)(void);
};

int harness_run(const char *suite, const struct test_case *cases);

#endif
