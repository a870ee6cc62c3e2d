#include <CUnit/Basic.h>
#include <stdlib.h>

#include "harness.h"

/*
 * Run every case of one suite and return the exit status for main: 0 if all
 * assertions hold and at least one case ran, 1 otherwise. A case without a
 * name terminates the table.
 */
int
harness_run(const char *suite, const struct test_case *cases)
{
	CU_pSuite group;
	unsigned int failures;

	if (CU_initialize_registry() != CUE_SUCCESS)
		return EXIT_FAILURE;
	group = CU_add_suite(suite, NULL, NULL);
	for (; group != NULL && cases->name != NULL; cases++)
		CU_add_test(group, cases->name, cases->run);
	CU_basic_set_mode(CU_BRM_NORMAL);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	if (CU_get_number_of_tests_run() == 0)
		failures++;
	CU_cleanup_registry();
	return failures == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
