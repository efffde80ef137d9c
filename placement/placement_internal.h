/**
 * @file
 * Model of the VMs, domains, services and replicas and the links between them.
 * Private to placement/.
 */
#ifndef PLACEMENT_PLACEMENT_INTERNAL_H
#define PLACEMENT_PLACEMENT_INTERNAL_H

#include <radishdeal/placement.h>

struct domain;
struct service;
struct replica;

struct vm {
	char *name;
	struct domain *domain;
	char *pool;
	uint64_t weights; /* hash of those in memory; 0: none */
	uint64_t staged[PLACEMENT_STAGED_MAX]; /* hashes of those on disk */
	uint32_t staged_count;
	uint32_t accelerators;
	bool alive, leaving, straggling;
	int64_t leaving_since_ms;
	int64_t alive_since_ms;
	int64_t lost_ms;
	uint32_t recent_losses;
	uint32_t holder; /* replica's id; 0: free */
	bool releasing;
	bool preloading;
	uint64_t preload_weights; /* hash of those being loaded */
	bool reserved;		  /* by a decision of the current plan */
};

struct domain {
	char *name;
	char *data_centre;
	GPtrArray *vms;	      /* of struct vm, by name */
	GHashTable *replicas; /* struct service -> number headed here */
	/* Cached counts of one plan for one service; see count_domain(). */
	uint64_t count_plan;
	const struct service *count_service;
	uint32_t usable, loaded;
};

struct service {
	char *name;
	char *version;
	char *pool; /* empty: any VM */
	uint64_t weights;
	uint32_t wanted, vms_per_replica, accelerators_per_vm;
	bool cross_domain, keep_healthy;
	uint32_t downtime_weight, stranded_weight;
	bool removed;
	GPtrArray *replicas; /* of struct replica, by number */
};

struct replica {
	uint32_t id;
	uint64_t epoch;
	struct service *service;
	char *version;
	struct vm *vms[PLACEMENT_VMS_MAX];
	uint32_t vm_count;
	struct domain *head_domain; /* whose `replicas` counts it; or NULL */
	bool healthy;
	bool busy;
	int64_t epoch_start_ms;
	bool released; /* by a decision of the current plan */
};

struct placement {
	struct placement_opts opts;
	GTree *vms;		 /* name -> struct vm */
	GTree *domains;		 /* name -> struct domain */
	GTree *services;	 /* name -> struct service */
	GTree *replicas;	 /* id -> struct replica */
	GPtrArray *domain_list;	 /* of struct domain, by name */
	GPtrArray *service_list; /* of struct service, by name */
	uint64_t plan_count;	 /* number of plans so far */
};

/* model.c */

/** Returns the number of a service's replicas with their head in a domain. */
uint32_t model_domain_replicas(const struct domain *domain,
			       const struct service *service);

/** Returns a VM by name, or NULL. */
struct vm *model_find_vm(const struct placement *placement, const char *name);

/** Returns a hash that identifies weights; 0 if `model` is empty. */
uint64_t model_weights_hash(const char *model, const char *adapter,
			    const char *version);

/** Whether a VM is free and may be assigned to a replica of a service. */
bool model_vm_assignable(const struct placement *placement, const struct vm *vm,
			 const struct service *service, int64_t now_ms);

/** Whether a VM is alive and not leaving. */
bool model_vm_available(const struct vm *vm);

/** Whether a VM has the weights in memory or on disk. */
bool model_has_weights(const struct vm *vm, uint64_t weights);

/** Returns the number of a replica's VMs that are lost or leaving. */
uint32_t model_lost_vms(const struct replica *replica);

/**
 * Returns the number of a replica's VMs that must still load weights; 0 if it
 * is healthy or has lost VMs.
 */
uint32_t model_loading_vms(const struct replica *replica);

#endif
