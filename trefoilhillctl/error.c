#include "trefoilhillctl/error.h"

G_DEFINE_QUARK(trefoilhill - ctl - error, ctl_error)
