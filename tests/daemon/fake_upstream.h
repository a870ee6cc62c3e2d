#ifndef TREFOILHILL_TESTS_DAEMON_FAKE_UPSTREAM_H
#define TREFOILHILL_TESTS_DAEMON_FAKE_UPSTREAM_H

#include "fixture.h"

void fake_upstream_open(struct fake_upstream *upstream);
void fake_upstream_close(struct fake_upstream *upstream);

#endif
