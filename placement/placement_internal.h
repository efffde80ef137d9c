/**
 * @file
 * The model behind placement: VMs, domains, services, replicas and the links
 * between them, kept current so that planning looks only at what is amiss.
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
	uint64_t weights; /* hash of what is in memory, 0 for nothing */
	uint64_t staged[PLACEMENT_STAGED_MAX]; /* of what is on its disk */
	uint32_t staged_count;
	uint32_t accelerators;
	bool alive, leaving, straggling;
	int64_t leaving_since_ms;
	int64_t alive_since_ms;
	int64_t lost_ms;
	uint32_t recent_losses;
	uint32_t holder; /* replica's number, 0 if free */
	bool releasing;
	bool preloading;
	uint64_t preload_weights; /* hash of what it then loads */
	bool taken;		  /* by a decision of the current plan */
};

struct domain {
	char *name;
	char *data_centre;
	GPtrArray *vms;	      /* of struct vm, by name */
	GHashTable *replicas; /* struct service -> replicas headed here */
	/* What the current plan counted for one service; see plan.c. */
	uint64_t counted_plan;
	const struct service *counted_for;
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
	struct domain *counted_in; /* where it is counted, or NULL */
	bool healthy;
	bool busy;
	int64_t since_ms;
	bool giving_up; /* by a decision of the current plan */
};

struct placement {
	struct placement_opts opts;
	GTree *vms;		 /* name -> struct vm */
	GTree *domains;		 /* name -> struct domain */
	GTree *services;	 /* name -> struct service */
	GTree *replicas;	 /* number -> struct replica */
	GPtrArray *domain_list;	 /* of struct domain, by name */
	GPtrArray *service_list; /* of struct service, by name */
	uint64_t plans;		 /* made so far */
};

/* model.c */

/** How many replicas of a service are headed in a domain. */
uint32_t model_replicas_in(const struct domain *domain,
			   const struct service *service);

struct vm *model_vm(const struct placement *placement, const char *name);
uint64_t model_weights(const char *model, const char *adapter,
		       const char *version);

/** Whether a free VM may be put into a replica of a service. */
bool model_usable(const struct placement *placement, const struct vm *vm,
		  const struct service *service, int64_t now_ms);

/** Whether a VM that a replica holds still serves it. */
bool model_serving(const struct vm *vm);

/** Whether a VM has weights at hand, in memory or on its disk. */
bool model_has(const struct vm *vm, uint64_t weights);

/** How many VMs of a replica are gone. */
uint32_t model_missing(const struct replica *replica);

/** How many VMs of a replica still have to load weights. */
uint32_t model_loading(const struct replica *replica);

#endif
