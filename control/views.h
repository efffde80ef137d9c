/**
 * @file
 * JSON bodies of the operator API's read requests. Each function returns a new
 * reference. Runs on the control task.
 */
#ifndef CONTROL_VIEWS_H
#define CONTROL_VIEWS_H

#include <jansson.h>

#include "control/control_internal.h"

json_t *views_status(const struct control *control);
json_t *views_services(const struct state *state);
json_t *views_service(const struct service_state *service);
json_t *views_history(const struct service_state *service);
json_t *views_endpoints(const struct control *control);
json_t *views_replicas(const struct control *control);
json_t *views_accounts(const struct state *state);
json_t *views_members(const struct control *control);
json_t *views_decisions(const struct control *control);

/** Returns a replica with its recent decisions; NULL for an unknown id. */
json_t *views_replica(const struct control *control, uint32_t id);

#endif
