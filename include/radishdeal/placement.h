/**
 * @file
 * Placement: assigns VMs to replicas, repairs replicas that have lost VMs and
 * releases surplus ones.
 *
 * The caller keeps a model of VMs, services and replicas current through the
 * functions below; placement_plan() makes decisions, which the caller carries
 * out. A domain is a fabric domain, a group of VMs on one network fabric.
 * The module does no I/O and takes the time as an argument. The decisions
 * depend only on the sequence of calls. An instance must be used from one
 * thread only.
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
	int32_t pause_wait_ms;	/* before a silent VM is replaced, as it may
				 * only be paused */
	int32_t drain_ms;	/* limit for draining before a graceful stop */
	int32_t flap_wait_ms;	/* a VM that was lost repeatedly must stay
				 * alive this long, times its recent losses,
				 * before it is used */
	int32_t flap_forget_ms; /* time without a further loss after which
				 * recent losses no longer count */
	uint32_t loads_max;  /* limit of replicas that load weights at once */
	bool loads_by_vm;    /* loads_max counts VMs; a replica's load may start
			      * while the count is lower, and so exceed it */
	bool stage_all;	     /* VMs with weights in memory stage those of other
			      * models on disk, to be able to switch models */
	bool spread;	     /* forms replicas in the domain with the most free
			      * VMs, so that every domain keeps spares */
	bool load_first;     /* a repair waits until its VMs have loaded the
			      * weights; meanwhile VMs that have them may become
			      * available */
	bool repair_at_once; /* baseline: does not wait for paused VMs */
	bool wait_for_own;   /* baseline: waits for the lost VMs to return */
	bool ignore_weights; /* baseline: ignores loaded weights */
	bool no_preload;     /* baseline: does not preload weights on spares */
	bool first_fit;	     /* baseline: first fit in order of names */
};

struct placement *placement_create(const struct placement_opts *opts);
void placement_destroy(struct placement *placement);

/** Changes the limit of concurrent weight loads. */
void placement_set_loads_max(struct placement *placement, uint32_t loads_max);

/** Requirements of a service. Strings are copied. */
struct placement_service {
	const char *name;
	const char *model;
	const char *adapter;
	const char *version;
	const char *pool;  /* VMs to use; NULL or empty: any */
	uint32_t replicas; /* wanted by the active preset */
	bool keep_healthy; /* surplus replicas stay while healthy */
	uint32_t vms_per_replica;
	uint32_t accelerators_per_vm;
	bool cross_domain;
	uint32_t downtime_weight; /* value of a healthy replica */
	uint32_t stranded_weight; /* value of 8 accelerators in use */
};

/** Adds or updates a service. */
void placement_put_service(struct placement *placement,
			   const struct placement_service *service);

/** Removes a service; its replicas become surplus. */
void placement_remove_service(struct placement *placement, const char *name);

/** State of a VM. Strings are copied. */
struct placement_vm {
	const char *name;
	const char *domain;
	const char *data_centre;
	const char *pool;  /* to which the VM belongs; NULL or empty: none */
	const char *model; /* weights in memory; empty: none */
	const char *adapter;
	const char *version;
	const char *const *staged; /* models whose weights are on its disk */
	uint32_t staged_count;
	uint32_t accelerators;
	bool alive;
	bool leaving;
	bool straggling;
	int64_t lost_ms; /* when it was last lost; 0 if never */
};

/** Adds or updates a VM. */
void placement_put_vm(struct placement *placement, int64_t now_ms,
		      const struct placement_vm *vm);

/** Sets which weights a VM loads while it is preloading. */
void placement_set_preload_weights(struct placement *placement, const char *vm,
				   const char *model, const char *adapter,
				   const char *version);

/** Sets whether a free VM has a preload in progress. */
void placement_set_preloading(struct placement *placement, const char *vm,
			      bool preloading);

/**
 * Sets the replica that a VM is assigned to, or 0 if it is free, and whether
 * the replica is releasing it.
 */
void placement_set_holder(struct placement *placement, const char *vm,
			  uint32_t replica, bool releasing);

/** Adds a replica, or starts a new epoch of it with the given VMs. */
void placement_put_replica(struct placement *placement, int64_t now_ms,
			   uint32_t id, uint64_t epoch, const char *service,
			   const char *version, const char *const *vms,
			   uint32_t vm_count);

/**
 * Removes a replica. Its VMs remain assigned until placement_set_holder() frees
 * them.
 */
void placement_remove_replica(struct placement *placement, uint32_t id);

/** Sets whether all VMs of a replica are ready in its epoch. */
void placement_set_healthy(struct placement *placement, uint32_t id,
			   bool healthy);

/** Sets whether a replica has requests in flight, which must drain first. */
void placement_set_busy(struct placement *placement, uint32_t id, bool busy);

enum placement_action {
	PLACEMENT_FORM,	   /* form a new replica from free VMs */
	PLACEMENT_REPAIR,  /* start a new epoch with lost VMs replaced */
	PLACEMENT_RELEASE, /* release a replica */
	PLACEMENT_WAIT,	   /* nothing can be done yet */
	PLACEMENT_PRELOAD, /* load weights on a VM in advance */
};

/** Returns the name of an action as it appears in messages. */
const char *placement_action_name(enum placement_action action);

/** A decision. */
struct placement_decision {
	enum placement_action action;
	uint32_t replica; /* 0: a new one */
	const char *service;
	const char *version;
	const char *vms[PLACEMENT_VMS_MAX]; /* the first is the head */
	uint32_t vm_count;
	char reason[PLACEMENT_REASON_MAX];
};

/**
 * Plans the changes to make. Calls `decide` for each decision: first releases
 * of surplus and outdated replicas, then repairs and new replicas by descending
 * value (with load_first, all repairs first), then preloads. A repair may also
 * release another broken replica. Strings are valid during the call only.
 * Planning does not change the model: the caller carries out the decisions that
 * it can and reports the results through the functions above before it plans
 * again.
 */
void placement_plan(struct placement *placement, int64_t now_ms,
		    void (*decide)(void *ctx,
				   const struct placement_decision *decision),
		    void *ctx);

/** A model's share of a pool of VMs. */
struct pool_share {
	/** Returns the cost of a number of replicas; must decrease with it. */
	double (*cost)(const void *ctx, uint32_t replicas);
	const void *ctx;
	uint32_t vms_per_replica;
	uint32_t replicas; /* result */
};

/**
 * Divides a pool between its models: sets the number of replicas of each.
 * Greedy: each further replica goes to the model with the highest cost, if it
 * fits into one fabric domain and `spare_permille` of the VMs remain as spares
 * for repairs. `domain_vms` holds the number of usable VMs in each domain.
 */
void placement_divide(struct pool_share *shares, uint32_t share_count,
		      const uint32_t *domain_vms, uint32_t domain_count,
		      uint32_t spare_permille);

/** Totals over all services and all VMs that are alive and not leaving. */
struct placement_totals {
	uint32_t alive_accelerators;
	uint32_t healthy_accelerators; /* of those, in healthy replicas */
	uint32_t wanted_replicas;
	uint32_t healthy_replicas; /* surplus ones not counted */
};

/** Computes the totals. */
void placement_get_totals(const struct placement *placement,
			  struct placement_totals *totals);

#endif
