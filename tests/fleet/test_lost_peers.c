#include <glib.h>

#include "common/rng.h"
#include "fleet/upstream.h"
#include "harness.h"

/*
 * Many hosts lose power at the same moment. The nodes of a zone send requests
 * to random hosts that they don't avoid, and tell one other node of the zone
 * every half second what they and others found lost.
 */
enum {
	NODES = 40,
	HOSTS = 150,
	DEAD = 60, /* the first ones */
	START_MS = 100000,
	STEP_MS = 10,
	END_MS = 3000,
	REQUEST_STEPS = 10, /* a node sends one in so many steps */
	BEAT_STEPS = 50,
	CONNECT_TIMEOUT_MS = 150,
};

struct fixture {
	struct rng *rng;
	struct fleet_zone *zone[2]; /* of even and odd hosts */
	struct fleet_peer *peers[NODES][HOSTS];
	/* Requests after the first second, and those of them to dead hosts. */
	int sent, failed;
};

static void
fixture_init(struct fixture *f)
{
	struct in_addr host;

	*f = (struct fixture){ .rng = rng_seeded_new(5) };
	f->zone[0] = fleet_zone_new("a");
	f->zone[1] = fleet_zone_new("b");
	for (int n = 0; n < NODES; n++) {
		for (uint32_t h = 0; h < HOSTS; h++) {
			host.s_addr = h + 1;
			f->peers[n][h] = fleet_peer_new(host, f->zone[h % 2]);
		}
	}
}

static void
fixture_clear(struct fixture *f)
{
	for (int n = 0; n < NODES; n++)
		for (int h = 0; h < HOSTS; h++)
			fleet_peer_unref(f->peers[n][h]);
	fleet_zone_unref(f->zone[0]);
	fleet_zone_unref(f->zone[1]);
	rng_free(f->rng);
}

static void
send_request(struct fixture *f, int node, int64_t now_ms)
{
	int host = (int)rng_below(f->rng, HOSTS);

	while (f->peers[node][host]->avoid_until_ms > now_ms)
		host = (int)rng_below(f->rng, HOSTS);
	f->sent += now_ms >= START_MS + 1000;
	if (host >= DEAD) {
		fleet_peer_mark_alive(f->peers[node][host], now_ms);
		return;
	}
	f->failed += now_ms >= START_MS + 1000;
	fleet_peer_mark_failed(
	    f->peers[node][host], now_ms + CONNECT_TIMEOUT_MS);
}

static void
tell(struct fixture *f, int from, int to, int64_t now_ms)
{
	for (int h = 0; h < HOSTS; h++) {
		int64_t age_ms =
		    fleet_peer_lost_age_ms(f->peers[from][h], now_ms);

		if (age_ms >= 0)
			fleet_peer_mark_reported_lost(
			    f->peers[to][h], (uint32_t)age_ms, now_ms);
	}
}

static void
send_heartbeat(struct fixture *f, int from, int64_t now_ms)
{
	int to = (int)rng_below(f->rng, NODES);

	tell(f, from, to, now_ms);
	tell(f, to, from, now_ms); /* in the response */
}

/* Play the time after the power loss; returns the share that fails, percent. */
static int
play(struct fixture *f, bool heartbeats)
{
	for (int64_t step = 1; step < END_MS / STEP_MS; step++) {
		int64_t now_ms = START_MS + step * STEP_MS;

		for (int node = 0; node < NODES; node++) {
			if ((step + node) % REQUEST_STEPS == 0)
				send_request(f, node, now_ms);
			if (heartbeats && (step + node) % BEAT_STEPS == 0)
				send_heartbeat(f, node, now_ms);
		}
	}
	return f->failed * 100 / f->sent;
}

static void
test_hosts_lost_together_are_told_of(void)
{
	struct fixture alone, told;
	int failed_alone, failed_told;

	fixture_init(&alone);
	fixture_init(&told);
	failed_alone = play(&alone, false);
	failed_told = play(&told, true);
	CU_ASSERT_TRUE(failed_alone > 30);
	CU_ASSERT_TRUE(failed_told * 3 <= failed_alone * 2);
	fixture_clear(&alone);
	fixture_clear(&told);
}

static void
test_own_contact_overrides_reports(void)
{
	struct fleet_zone *zone = fleet_zone_new("a");
	struct in_addr host = { 1 };
	struct fleet_peer *peer = fleet_peer_new(host, zone);

	fleet_peer_mark_alive(peer, 5000);
	fleet_peer_mark_reported_lost(peer, 200, 5100);
	CU_ASSERT_FALSE(fleet_peer_is_avoided(peer, 5100));
	fleet_peer_mark_reported_lost(peer, 50, 5100);
	CU_ASSERT_TRUE(fleet_peer_is_avoided(peer, 5100));
	CU_ASSERT_EQUAL(fleet_peer_lost_age_ms(peer, 5100), 50);
	fleet_peer_mark_alive(peer, 5200);
	CU_ASSERT_FALSE(fleet_peer_is_avoided(peer, 5200));
	CU_ASSERT_EQUAL(fleet_peer_lost_age_ms(peer, 5200), -1);
	/* A report is passed on for a limited time. */
	fleet_peer_mark_reported_lost(peer, 10, 6000);
	CU_ASSERT_EQUAL(fleet_peer_lost_age_ms(peer, 9000), -1);
	CU_ASSERT_FALSE(fleet_peer_is_avoided(peer, 9000));
	fleet_peer_unref(peer);
	fleet_zone_unref(zone);
}

/* The process that starts next need not meet every node soon. */
static void
test_stop_ends_with_its_grace_period(void)
{
	struct fleet_zone *zone = fleet_zone_new("a");
	struct fleet_peer *peer = fleet_peer_new((struct in_addr){ 1 }, zone);

	fleet_peer_set_stopping(peer, true, 6000, 1000);
	fleet_peer_set_stopping(peer, true, 6000, 4000);
	CU_ASSERT_TRUE(fleet_peer_is_stopping(peer, 6999));
	CU_ASSERT_FALSE(fleet_peer_is_stopping(peer, 7000));
	fleet_peer_set_stopping(peer, true, 6000, 8000);
	fleet_peer_set_stopping(peer, false, 6000, 8100);
	CU_ASSERT_FALSE(fleet_peer_is_stopping(peer, 8100));
	fleet_peer_unref(peer);
	fleet_zone_unref(zone);
}

static const struct test_case cases[] = {
	{ "hosts lost together are told of",
	    test_hosts_lost_together_are_told_of },
	{ "own contact overrides reports", test_own_contact_overrides_reports },
	{ "a stop ends with its grace period",
	    test_stop_ends_with_its_grace_period },
	{ NULL, NULL },
};

int
main(void)
{
	return harness_run("lost peers", cases);
}
