#ifndef TREFOILHILL_TREFOILHILLD_LOG_H
#define TREFOILHILL_TREFOILHILLD_LOG_H

#include "common/str.h"
#include "trefoilhilld/settings.h"

void log_setup(struct str node, enum log_threshold threshold);

#endif
