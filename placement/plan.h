/**
 * @file
 * State of one planning run. Private to placement/.
 */
#ifndef PLACEMENT_PLAN_H
#define PLACEMENT_PLAN_H

#include "placement/placement_internal.h"

/** A replica to repair or to form. */
struct need {
	struct service *service;
	struct replica *replica; /* NULL: a new one */
	uint32_t missing;	 /* VMs to find */
	bool urgent;		 /* precedes those that are not */
	double value;		 /* of meeting the need; highest first */
};

/** VMs picked for a need. */
struct pick {
	struct vm *vms[PLACEMENT_VMS_MAX];
	uint32_t count;
	uint32_t loads; /* of them, VMs that must load weights */
};

struct plan {
	struct placement *p;
	int64_t now_ms;
	void (*decide)(void *ctx, const struct placement_decision *decision);
	void *ctx;
	GArray *needs;
	GPtrArray *reserved;	      /* VMs reserved by this plan */
	GPtrArray *released_replicas; /* by this plan */
	uint32_t loading;	      /* counted against loads_max so far */
	bool repairs_loading; /* a repair waits for its VMs to load weights */
};

/** Passes a decision to the callback. `replica` and `pick` may be NULL. */
void plan_emit(struct plan *plan, enum placement_action action,
	       const struct service *service, const struct replica *replica,
	       const struct pick *pick, const char *fmt, ...)
	G_GNUC_PRINTF(6, 7);

/** Reserves a VM, so that the plan does not use it again. */
void plan_reserve(struct plan *plan, struct vm *vm);

/* pick.c */

/**
 * Completes a pick with VMs of one domain. Returns false if the domain has too
 * few.
 */
bool pick_from_domain(const struct plan *plan, const struct domain *d,
		      const struct service *s, struct pick *pick);

/**
 * Picks all VMs of a replica in one domain: the one where the fewest must load
 * weights. Returns false if no domain has enough.
 */
bool pick_one_domain(const struct plan *plan, const struct service *s,
		     struct pick *pick);

/**
 * Completes a pick with VMs of all domains, those of the same data centre
 * first. Returns false if there are too few.
 */
bool pick_across_domains(const struct plan *plan, const struct service *s,
			 struct pick *pick);

/** Whether a VM has the weights of a service with replicas in the domain. */
bool pick_is_standby(const struct plan *plan, const struct domain *d,
		     const struct vm *vm);

/** Adds a replica's VMs that are available and not stragglers. */
void pick_add_survivors(const struct replica *r, struct pick *pick);

/** Returns the domain with the most VMs of a pick, or NULL. */
const struct domain *pick_main_domain(const struct pick *survivors);

/* preload.c */

/** Decides which spares preload weights. Must be the last step of a plan. */
void plan_preload(struct plan *plan);

#endif
