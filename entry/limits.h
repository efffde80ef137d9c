/**
 * @file
 * Request limits that endpoints name in their answers: reads them, and tells
 * how long requests have to wait for them. Runs on the entry task.
 */
#ifndef ENTRY_LIMITS_H
#define ENTRY_LIMITS_H

#include <radishdeal/request_limits.h>

#include "entry/call.h"

struct limits;

struct limits *limits_create(struct entry *entry);
void limits_destroy(struct limits *limits);

/** Returns the limits of all endpoints, for the routers. */
struct request_limits *limits_table(struct limits *limits);

/** Returns the number that stands for the endpoint on a VM; never 0. */
uint64_t limits_endpoint(const char *vm);

/** Takes what the head of the call's response says of a limit, or of rest. */
void limits_read(struct call *call, const struct evkeyvalq *headers);

/** Updates the entries that share the limits. */
void limits_update_entries(struct limits *limits);

/**
 * Returns the time until the `requests`-th request from now on can be sent
 * within the limits and after rests; 0 if an endpoint of the service has
 * neither.
 */
int64_t limits_wait_ms(const struct entry_service *service, uint32_t requests);

#endif
