#ifndef TREFOILHILL_FLEET_ZONE_OUTAGES_H
#define TREFOILHILL_FLEET_ZONE_OUTAGES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * The zones that operators have taken out of service. After a restore, the
 * store's backup may lack an operator's latest command, or still hold one that
 * was withdrawn, until the operator has written it again. A change that only
 * the backup shows is therefore held back for a time, and takes effect when
 * nothing newer has arrived by then. Times are milliseconds of a monotonic
 * clock.
 */
struct zone_outages;

enum zone_change {
	ZONE_UNCHANGED,
	ZONE_TAKEN_OUT,
	ZONE_TAKEN_IN,
	ZONE_HELD, /* the change may be outdated and is held back */
};

struct zone_outages *zone_outages_new(void);
void zone_outages_free(struct zone_outages *outages);
/*
 * Apply the state of a zone as the store has it. from_backup: it comes from the
 * store's first copy after a restore.
 */
enum zone_change zone_outages_set(struct zone_outages *outages,
    const char *zone, bool out, bool from_backup, int64_t now_ms);
/*
 * Put held changes whose time is up in force. Returns the name of one such zone
 * and its state, or NULL if there is none left. The name is valid until the
 * next call of any function.
 */
const char *zone_outages_expire(
    struct zone_outages *outages, int64_t now_ms, bool *out);
bool zone_outages_is_out(const struct zone_outages *outages, const char *zone);

#endif
