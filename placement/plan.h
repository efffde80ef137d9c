/**
 * @file
 * A plan in the making, shared by the files that make it. Private to
 * placement/.
 */
#ifndef PLACEMENT_PLAN_H
#define PLACEMENT_PLAN_H

#include "placement/placement_internal.h"

/** Something a service lacks: a broken replica, or one more replica. */
struct need {
	struct service *service;
	struct replica *replica; /* NULL for a new one */
	uint32_t missing;	 /* VMs to find */
	double value;		 /* price of leaving it */
};

/** VMs found for a need. */
struct pick {
	struct vm *vms[PLACEMENT_VMS_MAX];
	uint32_t count;
	uint32_t loads; /* VMs that must load weights */
};

struct plan {
	struct placement *p;
	int64_t now_ms;
	void (*decide)(void *ctx, const struct placement_decision *decision);
	void *ctx;
	GArray *needs;
	GPtrArray *taken;    /* VMs marked by this plan */
	GPtrArray *given_up; /* replicas marked by this plan */
	uint32_t loading;
};

/** Tells of a decision; `replica` and `pick` may be NULL. */
void plan_tell(struct plan *plan, enum placement_action action,
	       const struct service *service, const struct replica *replica,
	       const struct pick *pick, const char *fmt, ...)
	G_GNUC_PRINTF(6, 7);

/** Marks a VM as used by this plan. */
void plan_take(struct plan *plan, struct vm *vm);

/** Decides which spares load ahead; the last part of a plan. */
void plan_preload(struct plan *plan);

#endif
