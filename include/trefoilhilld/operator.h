#ifndef TREFOILHILL_TREFOILHILLD_OPERATOR_H
#define TREFOILHILL_TREFOILHILLD_OPERATOR_H

#include <glib.h>

#include "common/str.h"

struct node;

/* HTTP listener for status, metrics, events and commands of operators. */
struct operator_listener;

#define OPERATOR_ERROR (operator_error_quark())

enum operator_error {
	OPERATOR_ERROR_LISTEN,
};

/* A request as passed to the handler of its endpoint; all borrowed. */
struct operator_request {
	struct node *node;
	struct str query;
	struct str body;
};

/* The response that a handler fills in. */
struct operator_response {
	int status;
	const char *content_type;
	GString *body;
};

/* One endpoint; the table is in trefoilhilld/operator.c. */
struct operator_endpoint {
	const char *method;
	const char *path;
	void (*handle)(const struct operator_request *request,
	    struct operator_response *response);
};

GQuark operator_error_quark(void);
struct operator_listener *operator_listener_new(
    struct str address, struct node *node, GError **error);
void operator_listener_free(struct operator_listener *listener);

/* Helpers for the endpoint handlers. */
void operator_response_set_json(struct operator_response *response, void *json);
void operator_response_set_error(struct operator_response *response, int status,
    const char *type, const char *detail);
char *operator_query_value(struct str query, const char *name);

/* Endpoint handlers, one file each in trefoilhilld/operator/. */
void handle_status(
    const struct operator_request *request, struct operator_response *response);
void handle_metrics(
    const struct operator_request *request, struct operator_response *response);
void handle_events(
    const struct operator_request *request, struct operator_response *response);
void handle_records(
    const struct operator_request *request, struct operator_response *response);
void handle_explain(
    const struct operator_request *request, struct operator_response *response);
void handle_check(
    const struct operator_request *request, struct operator_response *response);
void handle_drain(
    const struct operator_request *request, struct operator_response *response);

#endif
