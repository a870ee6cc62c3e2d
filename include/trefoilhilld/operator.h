#ifndef TREFOILHILL_TREFOILHILLD_OPERATOR_H
#define TREFOILHILL_TREFOILHILLD_OPERATOR_H

#include <glib.h>

#include "common/str.h"

struct node;

/* The HTTP listener for operators. */
struct operator_listener;

#define OPERATOR_ERROR (operator_error_quark())

enum operator_error {
	OPERATOR_ERROR_LISTEN,
};

/* A request to one endpoint, as its handler sees it. */
struct operator_request {
	struct node *node;
	struct str query;
	struct str body;
};

/* The answer that a handler fills in. */
struct operator_answer {
	int status;
	const char *content_type;
	GString *body;
};

/* One endpoint; the table is in trefoilhilld/operator.c. */
struct operator_endpoint {
	const char *method;
	const char *path;
	void (*handle)(const struct operator_request *request,
	    struct operator_answer *answer);
};

GQuark operator_error_quark(void);
struct operator_listener *operator_listener_new(
    struct str address, struct node *node, GError **error);
void operator_listener_free(struct operator_listener *listener);

/* For the endpoints. */
void operator_answer_json(struct operator_answer *answer, void *json);
void operator_answer_error(struct operator_answer *answer, int status,
    const char *type, const char *detail);
char *operator_query_value(struct str query, const char *name);

/* The endpoints, one file each in trefoilhilld/operator/. */
void handle_status(
    const struct operator_request *request, struct operator_answer *answer);
void handle_metrics(
    const struct operator_request *request, struct operator_answer *answer);
void handle_events(
    const struct operator_request *request, struct operator_answer *answer);
void handle_records(
    const struct operator_request *request, struct operator_answer *answer);
void handle_explain(
    const struct operator_request *request, struct operator_answer *answer);
void handle_check(
    const struct operator_request *request, struct operator_answer *answer);
void handle_drain(
    const struct operator_request *request, struct operator_answer *answer);

#endif
