/**
 * @file
 * Parts of the rig on the platform's interface: three control VMs and four
 * entries, VMs of a model's pool in one process and of a plain service in
 * another. Nodes 1 to 3 are the control VMs; of struct cluster_node, `callers`
 * is their directory, and an entry's `operators` its readiness port.
 */
#ifndef SOAK_PLATFORM_H
#define SOAK_PLATFORM_H

#include "soak/caller.h"
#include "soak/soak.h"
#include "test/response.h"

#define PLATFORM_CONTROL_VMS 3
#define PLATFORM_STREAM_MS 8000 /* timeouts of the routes */
#define PLATFORM_CALL_MS 1500
#define PLATFORM_TARGET_MS 500
#define PLATFORM_GAP_MS 300
#define PLATFORM_HOST "shop.example"
#define PLATFORM_KEY "k1"
/* Fault group: callers send a request that ends its endpoint. */
#define PLATFORM_BAD_REQUESTS "bad"

struct platform_faults;

struct platform_rig {
	char network[24]; /* first three parts of the addresses */
	pid_t engine;	  /* the process of the model's VMs */
	struct platform_faults *faults;
};

/** Draws what fails from the seed. */
struct platform_faults *platform_faults_create(struct soak *soak);
void platform_faults_free(struct platform_faults *faults);
/** Makes the faults that are due. */
void platform_faults_run(struct platform_faults *faults);

/** Puts a configuration at the control VMs in turn until one accepts it. */
bool platform_put_config(const struct soak *soak, int version);

/* platform_callers.c: callbacks of struct soak_rig */
void platform_refresh_caller(struct caller *caller);
void platform_choose_entry(struct caller *caller);
int platform_make_call(struct caller *caller);
void platform_free_caller(struct caller *caller);

/**
 * Returns what must not be in a response, as far as it was received; NULL for
 * nothing.
 */
const char *platform_check_response(const struct response *response,
				    const struct request *request);

#endif
