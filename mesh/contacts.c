#include <glib.h>

#include "mesh/contacts.h"

/*
 * Initialize the contacts of a node from its seeds. own_address is borrowed and
 * never becomes a contact.
 */
void
contacts_init(struct contacts *contacts, struct str own_address,
    const struct str *seeds, size_t seed_count)
{
	*contacts = (struct contacts){ .own_address = own_address };
	for (size_t i = 0; i < seed_count && contacts->count < CONTACTS_MAX;
	     i++) {
		if (str_equal(seeds[i], own_address)) {
			contacts->self_is_seed = true;
			continue;
		}
		contacts->items[contacts->count++] = (struct contact){
			.address = str_dup(seeds[i]),
			.seed = true,
		};
	}
}

/*
 * Free all contacts.
 */
void
contacts_release(struct contacts *contacts)
{
	for (size_t i = 0; i < contacts->count; i++)
		str_release(&contacts->items[i].address);
	contacts->count = 0;
}

static struct contact *
contacts_find(struct contacts *contacts, struct str address)
{
	for (size_t i = 0; i < contacts->count; i++)
		if (str_equal(contacts->items[i].address, address))
			return &contacts->items[i];
	return NULL;
}

/*
 * Add an address, in the place of a random one when there is no room, and
 * return its entry; NULL for the own address or when only seeds are held.
 */
struct contact *
contacts_add(struct contacts *contacts, struct str address, struct rng *rng)
{
	struct contact *contact = contacts_find(contacts, address);

	if (contact != NULL || str_equal(address, contacts->own_address))
		return contact;
	if (contacts->count < CONTACTS_MAX) {
		contact = &contacts->items[contacts->count++];
	} else {
		contact = &contacts->items[rng_below(rng, CONTACTS_MAX)];
		if (contact->seed)
			return NULL;
		str_release(&contact->address);
	}
	*contact = (struct contact){ .address = str_dup(address) };
	return contact;
}

/*
 * Return a random contact, or NULL if there is none.
 */
const struct contact *
contacts_pick(const struct contacts *contacts, struct rng *rng)
{
	if (contacts->count == 0)
		return NULL;
	return &contacts->items[rng_below(rng, contacts->count)];
}
