#include "source/error.h"

G_DEFINE_QUARK(trefoilhill - platform - error, platform_error)
