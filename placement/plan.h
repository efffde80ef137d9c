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
	bool first;		 /* goes before others, whatever the value */
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
	bool repair_waits; /* some replica waits for weights to be loaded */
};

/** Tells of a decision; `replica` and `pick` may be NULL. */
void plan_tell(struct plan *plan, enum placement_action action,
	       const struct service *service, const struct replica *replica,
	       const struct pick *pick, const char *fmt, ...)
	G_GNUC_PRINTF(6, 7);

/** Marks a VM as used by this plan. */
void plan_take(struct plan *plan, struct vm *vm);

/* pick.c */

/** Fills a pick from one domain; false if it has too few usable VMs. */
bool pick_fill_from(const struct plan *plan, const struct domain *d,
		    const struct service *s, struct pick *pick);

/** Finds VMs for a whole replica in one domain. */
bool pick_one_domain(const struct plan *plan, const struct service *s,
		     struct pick *pick);

/** Completes a pick from all domains, near ones first. */
bool pick_across(const struct plan *plan, const struct service *s,
		 struct pick *pick);

/** Whether a spare's weights are some service's here, and worth keeping. */
bool pick_stands_by(const struct plan *plan, const struct domain *d,
		    const struct vm *vm);

/** Adds the VMs of a replica that still serve. */
void pick_add_survivors(const struct replica *r, struct pick *pick);

/** The domain that holds most of a pick, or NULL. */
const struct domain *pick_home_domain(const struct pick *survivors);

/** Decides which spares load ahead; the last part of a plan. */
void plan_preload(struct plan *plan);

#endif
