/**
 * @file
 * Placement: which VMs form which replicas, what to repair, what to give up.
 *
 * A decision core. It holds a model of VMs, services and replicas that its
 * user keeps current, and on placement_plan() says what to change. It issues
 * nothing itself and reads no clock. One thread owns an instance. Decisions
 * are a function of the calls made, in order.
 */
#ifndef RADISHDEAL_PLACEMENT_H
#define RADISHDEAL_PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#define PLACEMENT_VMS_MAX 64
#define PLACEMENT_REASON_MAX 160
#define PLACEMENT_STAGED_MAX 8

struct placement;

struct placement_opts {
	int32_t pause_wait_ms;	/* a silent VM may only be pausing this long */
	int32_t drain_ms;	/* how long a graceful end waits for requests */
	int32_t flap_wait_ms;	/* times its recent losses: before it is used */
	int32_t flap_forget_ms; /* a loss counts as recent for this long */
	uint32_t loads_max;	/* replicas that may load weights at once */
	bool loads_by_vm; /* counts VMs instead, to just reach loads_max */
	bool stage_all;	  /* VMs that have weights in memory load those of
			   * others to their disk, so that they can change */
	bool spread;	  /* replicas go where most VMs are free, so that each
			   * domain keeps spares */
	bool load_first;  /* a repair waits until its VMs have loaded weights,
			   * so that others may still come to its aid */
	bool repair_at_once; /* baseline: no waiting for a pausing VM */
	bool wait_for_own;   /* baseline: a replica waits for its own VM */
	bool ignore_weights; /* baseline: loaded weights do not matter */
	bool no_preload;     /* baseline: spares load nothing ahead */
	bool first_fit;	     /* baseline: domains and VMs in order of names */
};

struct placement *placement_create(const struct placement_opts *opts);
void placement_destroy(struct placement *placement);

/** Changes how many loads there may be at once. */
void placement_set_loads_max(struct placement *placement, uint32_t loads_max);

/** What a service asks for. Strings are copied. */
struct placement_service {
	const char *name;
	const char *model;
	const char *adapter;
	const char *version;
	const char *pool;  /* only VMs of it; NULL or empty: any VM */
	uint32_t replicas; /* wanted by the preset in force */
	bool keep_healthy; /* replicas over what is wanted stay while whole */
	uint32_t vms_per_replica;
	uint32_t accelerators_per_vm;
	bool cross_domain;
	uint32_t downtime_weight;
	uint32_t stranded_weight;
};

/** Adds or updates a service. */
void placement_put_service(struct placement *placement,
			   const struct placement_service *service);

/** Removes a service; its replicas are then surplus. */
void placement_remove_service(struct placement *placement, const char *name);

/** What is known of a VM. Strings are copied. */
struct placement_vm {
	const char *name;
	const char *domain;
	const char *data_centre;
	const char *pool;  /* it belongs to; NULL or empty: none */
	const char *model; /* loaded weights, empty for none */
	const char *adapter;
	const char *version;
	const char *const *staged; /* models at hand on its disk */
	uint32_t staged_count;
	uint32_t accelerators;
	bool alive;
	bool leaving;
	bool straggling;
	int64_t lost_ms; /* when it was last found lost, 0 if never */
};

/** Adds or updates a VM. */
void placement_put_vm(struct placement *placement, int64_t now_ms,
		      const struct placement_vm *vm);

/** Tells which weights a VM loads while it is preloading. */
void placement_set_preload_weights(struct placement *placement, const char *vm,
				   const char *model, const char *adapter,
				   const char *version);

/** Tells that a free VM was told to load weights and has not done so yet. */
void placement_set_preloading(struct placement *placement, const char *vm,
			      bool preloading);

/** Tells who holds a VM: a replica's number or 0; and if it is giving it up. */
void placement_set_holder(struct placement *placement, const char *vm,
			  uint32_t replica, bool releasing);

/** Adds a replica, or replaces it by a new epoch. */
void placement_put_replica(struct placement *placement, int64_t now_ms,
			   uint32_t id, uint64_t epoch, const char *service,
			   const char *version, const char *const *vms,
			   uint32_t vm_count);

/** Removes a replica; its VMs stay held until placement_set_holder() frees
 * them. */
void placement_remove_replica(struct placement *placement, uint32_t id);

/** Tells that a replica's VMs are all ready under its epoch, or not. */
void placement_set_healthy(struct placement *placement, uint32_t id,
			   bool whole);

/** Tells that requests are in flight at a replica: a graceful end waits. */
void placement_set_busy(struct placement *placement, uint32_t id, bool busy);

enum placement_action {
	PLACEMENT_FORM,	   /* new replica out of free VMs */
	PLACEMENT_REPAIR,  /* new epoch with other VMs in place of lost ones */
	PLACEMENT_RELEASE, /* give a replica up */
	PLACEMENT_WAIT,	   /* nothing to do yet; why */
	PLACEMENT_PRELOAD, /* a spare VM loads weights ahead of need */
};

/** Returns a word for an action. */
const char *placement_action_name(enum placement_action action);

/** One decision. */
struct placement_decision {
	enum placement_action action;
	uint32_t replica; /* 0 for a new one */
	const char *service;
	const char *version;
	const char *vms[PLACEMENT_VMS_MAX]; /* the first is the head */
	uint32_t vm_count;
	char reason[PLACEMENT_REASON_MAX];
};

/**
 * Decides. Calls decide() once per decision, most valuable first; strings are
 * borrowed during the call. The model is not changed by deciding: the user
 * carries out what it can and tells of it by the calls above before planning
 * again.
 */
void placement_plan(struct placement *placement, int64_t now_ms,
		    void (*decide)(void *ctx,
				   const struct placement_decision *decision),
		    void *ctx);

/** A model's part of a pool of VMs. */
struct pool_share {
	/** How bad it is to have so many; falls as they grow in number. */
	double (*cost)(const void *ctx, uint32_t replicas);
	const void *ctx;
	uint32_t vms_per_replica;
	uint32_t replicas; /* result */
};

/**
 * Divides a pool between its models: how many replicas of each, so that the
 * worst strain is as small as can be, each replica fits into one fabric
 * domain, and some VMs stay spare for repairs. `domain_vms` holds the usable
 * VMs of each domain.
 */
void placement_divide(struct pool_share *parts, uint32_t part_count,
		      const uint32_t *domain_vms, uint32_t domain_count,
		      uint32_t spare_permille);

/** Accelerators by what they do, over all VMs that are alive. */
struct placement_totals {
	uint32_t alive;	     /* accelerators of VMs alive and not leaving */
	uint32_t in_healthy; /* of those, in whole replicas */
	uint32_t wanted;     /* replicas wanted */
	uint32_t healthy;    /* replicas whole, counted up to what is wanted */
};

void placement_get_totals(const struct placement *placement,
			  struct placement_totals *sums);

#endif
