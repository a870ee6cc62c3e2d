#include <arpa/inet.h>
#include <glib.h>

#include "fleet/catalog.h"
#include "harness.h"

/*
 * What a node believes between a restore of the store and the time when
 * operators and upstreams have written their state again.
 */
enum {
	ERA = 4,
	RESTORE_MS = 10000,
	GRACE_MS = 1700,
	HOLD_MS = 5000, /* of zones; see zone_outages.c */
};

struct fixture {
	struct catalog *catalog;
	enum catalog_event last;
	struct catalog_origin origin; /* of the next change */
};

static void
handle_event(void *arg, enum catalog_event event, const char *subject,
    const char *detail, uint64_t revision)
{
	struct fixture *f = arg;

	f->last = event;
}

static void
fixture_init(struct fixture *f)
{
	struct catalog_ops ops = { .handle_event = handle_event, .arg = f };

	*f = (struct fixture){
		.catalog = catalog_new(ops),
		.origin.position = { ERA, 100 },
	};
}

/* The next changes are from the copy that the store was restored from. */
static void
begin_restore(struct fixture *f)
{
	f->origin = (struct catalog_origin){
		.position = { ERA + 1, 60 },
		.from_backup = true,
		.now_ms = RESTORE_MS,
		.grace_ms = GRACE_MS,
	};
}

/* The next changes were made after the restore. */
static void
end_restore(struct fixture *f, int64_t after_ms)
{
	f->origin = (struct catalog_origin){
		.position = { ERA + 1, 70 },
		.now_ms = RESTORE_MS + after_ms,
	};
}

static void
put_upstream(
    struct fixture *f, uint64_t sequence, bool draining, uint32_t cold_ms)
{
	struct catalog_change change = {
		.kind = CATALOG_UPSTREAM,
		.entry = {
			.id = g_strdup("i-1"),
			.service = g_strdup("orders"),
			.zone = g_strdup("a"),
			.slots = 12,
			.started_ms = 5000,
			.sequence = sequence,
			.draining = draining,
			.cold_ms = cold_ms,
		},
	};

	change.entry.address.sin_port = htons(80);
	inet_pton(AF_INET, "10.0.0.1", &change.entry.address.sin_addr);
	catalog_apply(f->catalog, &change, &f->origin);
	catalog_change_clear(&change);
}

static void
put_config(struct fixture *f, uint64_t version)
{
	struct catalog_change change = {
		.kind = CATALOG_CONFIG,
		.config = mesh_config_new(),
	};

	change.config->label = g_strdup_printf("r%" G_GUINT64_FORMAT, version);
	change.config->version = version;
	f->origin.position.revision++;
	catalog_apply(f->catalog, &change, &f->origin);
	catalog_change_clear(&change);
}

static void
apply_named(
    struct fixture *f, enum catalog_change_kind kind, const char *subject)
{
	struct catalog_change change = {
		.kind = kind,
		.subject = g_strdup(subject),
	};

	catalog_apply(f->catalog, &change, &f->origin);
	catalog_change_clear(&change);
}

static struct upstream *
find_upstream(struct fixture *f)
{
	return catalog_upstream(f->catalog, str_from("i-1"));
}

static void
test_version_never_goes_back(void)
{
	struct fixture f;

	fixture_init(&f);
	put_config(&f, 12);
	begin_restore(&f);
	put_config(&f, 9);
	CU_ASSERT_EQUAL(f.last, CATALOG_EVENT_CONFIG_STALE);
	CU_ASSERT_EQUAL(catalog_config(f.catalog)->version, 12);
	end_restore(&f, 100);
	put_config(&f, 10);
	CU_ASSERT_EQUAL(catalog_config(f.catalog)->version, 12);
	put_config(&f, 12);
	CU_ASSERT_EQUAL(f.last, CATALOG_EVENT_CONFIG);
	put_config(&f, 15);
	CU_ASSERT_EQUAL(catalog_config(f.catalog)->version, 15);
	catalog_free(f.catalog);
}

static void
test_new_process_takes_the_copy(void)
{
	struct fixture f;

	fixture_init(&f);
	begin_restore(&f);
	put_config(&f, 9);
	put_upstream(&f, 3, false, 0);
	apply_named(&f, CATALOG_ZONE_OUT, "b");
	CU_ASSERT_EQUAL(catalog_config(f.catalog)->version, 9);
	CU_ASSERT_PTR_NOT_NULL(find_upstream(&f));
	CU_ASSERT_TRUE(catalog_zone_is_out(f.catalog, "b"));
	catalog_free(f.catalog);
}

static void
test_departed_upstream_stays_away(void)
{
	struct fixture f;

	fixture_init(&f);
	put_upstream(&f, 7, false, 0);
	apply_named(&f, CATALOG_UPSTREAM_GONE, "i-1");
	begin_restore(&f);
	put_upstream(&f, 5, false, 0);
	CU_ASSERT_EQUAL(f.last, CATALOG_EVENT_REGISTRATION_STALE);
	put_upstream(&f, 7, false, 0);
	CU_ASSERT_PTR_NULL(find_upstream(&f));
	/* Its own next report proves that it is alive. */
	end_restore(&f, 500);
	put_upstream(&f, 8, false, 0);
	CU_ASSERT_PTR_NOT_NULL(find_upstream(&f));
	catalog_free(f.catalog);
}

static void
test_draining_and_cold_are_not_undone(void)
{
	struct fixture f;

	fixture_init(&f);
	f.origin.now_ms = RESTORE_MS - 500;
	put_upstream(&f, 6, false, 3000);
	begin_restore(&f);
	put_upstream(&f, 4, false, 0);
	CU_ASSERT_TRUE(find_upstream(&f)->cold_until_ms > RESTORE_MS + 2000);
	catalog_free(f.catalog);
	fixture_init(&f);
	put_upstream(&f, 6, true, 0);
	begin_restore(&f);
	put_upstream(&f, 4, false, 0);
	CU_ASSERT_TRUE(find_upstream(&f)->entry.draining);
	catalog_free(f.catalog);
}

/* An upstream that registered after the copy was made. */
static void
test_upstream_that_the_copy_lacks(void)
{
	struct fixture f;

	for (int registers_again = 0; registers_again < 2; registers_again++) {
		fixture_init(&f);
		put_upstream(&f, 2, false, 0);
		begin_restore(&f);
		apply_named(&f, CATALOG_UPSTREAM_GONE, "i-1");
		CU_ASSERT_PTR_NOT_NULL(find_upstream(&f));
		end_restore(&f, GRACE_MS / 2);
		if (registers_again)
			put_upstream(&f, 3, false, 0);
		catalog_expire(f.catalog, RESTORE_MS + GRACE_MS);
		CU_ASSERT_EQUAL(find_upstream(&f) != NULL, registers_again);
		catalog_free(f.catalog);
	}
}

/* A command to take a zone out that is lost with the store's last changes. */
static void
test_lost_evacuation_is_held(void)
{
	struct fixture f;

	for (int written_again = 0; written_again < 2; written_again++) {
		fixture_init(&f);
		apply_named(&f, CATALOG_ZONE_OUT, "a");
		begin_restore(&f);
		apply_named(&f, CATALOG_ZONE_IN, "a");
		CU_ASSERT_EQUAL(f.last, CATALOG_EVENT_ZONE_HELD);
		catalog_expire(f.catalog, RESTORE_MS + HOLD_MS - 1);
		CU_ASSERT_TRUE(catalog_zone_is_out(f.catalog, "a"));
		end_restore(&f, HOLD_MS - 1);
		if (written_again)
			apply_named(&f, CATALOG_ZONE_OUT, "a");
		catalog_expire(f.catalog, RESTORE_MS + HOLD_MS);
		CU_ASSERT_EQUAL(
		    catalog_zone_is_out(f.catalog, "a"), written_again);
		catalog_free(f.catalog);
	}
}

/* A withdrawn command that is in force again in the copy. */
static void
test_withdrawn_evacuation_is_held(void)
{
	struct fixture f;

	for (int withdrawn_again = 0; withdrawn_again < 2; withdrawn_again++) {
		fixture_init(&f);
		apply_named(&f, CATALOG_ZONE_OUT, "a");
		apply_named(&f, CATALOG_ZONE_IN, "a");
		begin_restore(&f);
		apply_named(&f, CATALOG_ZONE_OUT, "a");
		CU_ASSERT_FALSE(catalog_zone_is_out(f.catalog, "a"));
		end_restore(&f, 1000);
		if (withdrawn_again)
			apply_named(&f, CATALOG_ZONE_IN, "a");
		catalog_expire(f.catalog, RESTORE_MS + HOLD_MS);
		CU_ASSERT_EQUAL(
		    catalog_zone_is_out(f.catalog, "a"), !withdrawn_again);
		catalog_free(f.catalog);
	}
}

/* A change after the restore needs no hold. */
static void
test_changes_after_the_restore_apply_at_once(void)
{
	struct fixture f;

	fixture_init(&f);
	apply_named(&f, CATALOG_ZONE_OUT, "a");
	begin_restore(&f);
	apply_named(&f, CATALOG_ZONE_IN, "a");
	end_restore(&f, 200);
	apply_named(&f, CATALOG_ZONE_IN, "a");
	CU_ASSERT_FALSE(catalog_zone_is_out(f.catalog, "a"));
	apply_named(&f, CATALOG_ZONE_OUT, "a");
	CU_ASSERT_TRUE(catalog_zone_is_out(f.catalog, "a"));
	catalog_free(f.catalog);
}

static const struct test_case cases[] = {
	{ "a version never goes back", test_version_never_goes_back },
	{ "a new process takes the copy", test_new_process_takes_the_copy },
	{ "a departed upstream stays away", test_departed_upstream_stays_away },
	{ "draining and cold are not undone",
	    test_draining_and_cold_are_not_undone },
	{ "an upstream that the copy lacks",
	    test_upstream_that_the_copy_lacks },
	{ "a lost evacuation is held", test_lost_evacuation_is_held },
	{ "a withdrawn evacuation is held", test_withdrawn_evacuation_is_held },
	{ "changes after the restore apply at once",
	    test_changes_after_the_restore_apply_at_once },
	{ NULL, NULL },
};

int
main(void)
{
	return harness_run("restore", cases);
}
