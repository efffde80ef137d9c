#include <string.h>

#include <xxhash.h>

#include "placement/placement_internal.h"

static gint compare_names(gconstpointer a, gconstpointer b, gpointer ctx)
{
	(void)ctx;
	return strcmp(a, b);
}

static gint compare_ids(gconstpointer a, gconstpointer b, gpointer ctx)
{
	guint x = GPOINTER_TO_UINT(a), y = GPOINTER_TO_UINT(b);

	(void)ctx;
	return x < y ? -1 : x > y;
}

static void vm_free(gpointer data)
{
	struct vm *vm = data;

	g_free(vm->name);
	g_free(vm->pool);
	g_free(vm);
}

static void domain_free(gpointer data)
{
	struct domain *domain = data;

	g_ptr_array_unref(domain->vms);
	g_hash_table_unref(domain->replicas);
	g_free(domain->name);
	g_free(domain->data_centre);
	g_free(domain);
}

static void service_free(gpointer data)
{
	struct service *service = data;

	g_ptr_array_unref(service->replicas);
	g_free(service->name);
	g_free(service->version);
	g_free(service->pool);
	g_free(service);
}

static void replica_free(gpointer data)
{
	struct replica *replica = data;

	g_free(replica->version);
	g_free(replica);
}

struct placement *placement_create(const struct placement_opts *opts)
{
	struct placement *p = g_new0(struct placement, 1);

	p->opts = *opts;
	p->vms = g_tree_new_full(compare_names, NULL, NULL, vm_free);
	p->domains = g_tree_new_full(compare_names, NULL, NULL, domain_free);
	p->services = g_tree_new_full(compare_names, NULL, NULL, service_free);
	p->replicas = g_tree_new_full(compare_ids, NULL, NULL, replica_free);
	p->domain_list = g_ptr_array_new();
	p->service_list = g_ptr_array_new();
	return p;
}

void placement_set_loads_max(struct placement *p, uint32_t loads_max)
{
	p->opts.loads_max = loads_max;
}

void placement_destroy(struct placement *p)
{
	if (!p)
		return;
	g_ptr_array_unref(p->domain_list);
	g_ptr_array_unref(p->service_list);
	g_tree_unref(p->replicas);
	g_tree_unref(p->services);
	g_tree_unref(p->domains);
	g_tree_unref(p->vms);
	g_free(p);
}

uint64_t model_weights_hash(const char *model, const char *adapter,
			    const char *version)
{
	uint64_t hash;

	if (!*model)
		return 0;
	hash = XXH64(model, strlen(model) + 1, 0);
	hash = XXH64(adapter, strlen(adapter) + 1, hash);
	hash = XXH64(version, strlen(version) + 1, hash);
	return hash ? hash : 1;
}

static void set_text(char **field, const char *text)
{
	if (*field && !strcmp(*field, text ? text : ""))
		return;
	g_free(*field);
	*field = g_strdup(text ? text : "");
}

/* ---- services ---- */

static gboolean append_value(gpointer key, gpointer value, gpointer data)
{
	(void)key;
	g_ptr_array_add(data, value);
	return FALSE;
}

static struct service *get_service(struct placement *p, const char *name)
{
	struct service *service = g_tree_lookup(p->services, name);

	if (service)
		return service;
	service = g_new0(struct service, 1);
	service->name = g_strdup(name);
	service->version = g_strdup("");
	service->pool = g_strdup("");
	service->replicas = g_ptr_array_new();
	service->removed = true;
	g_tree_insert(p->services, service->name, service);
	g_ptr_array_set_size(p->service_list, 0);
	g_tree_foreach(p->services, append_value, p->service_list);
	return service;
}

void placement_put_service(struct placement *p,
			   const struct placement_service *from)
{
	struct service *service = get_service(p, from->name);

	g_free(service->version);
	service->version = g_strdup(from->version);
	set_text(&service->pool, from->pool);
	service->weights = model_weights_hash(from->model, from->adapter,
					      from->version);
	service->wanted = from->replicas;
	service->vms_per_replica = from->vms_per_replica;
	service->accelerators_per_vm = from->accelerators_per_vm;
	service->cross_domain = from->cross_domain;
	service->keep_healthy = from->keep_healthy;
	service->downtime_weight = from->downtime_weight;
	service->stranded_weight = from->stranded_weight;
	service->removed = false;
}

void placement_remove_service(struct placement *p, const char *name)
{
	struct service *service = g_tree_lookup(p->services, name);

	if (!service)
		return;
	service->removed = true;
	service->wanted = 0;
}

/* ---- VMs ---- */

struct vm *model_find_vm(const struct placement *p, const char *name)
{
	return g_tree_lookup(p->vms, name);
}

static struct domain *get_domain(struct placement *p, const char *name,
				 const char *data_centre)
{
	struct domain *domain = g_tree_lookup(p->domains, name);

	if (domain)
		return domain;
	domain = g_new0(struct domain, 1);
	domain->name = g_strdup(name);
	domain->data_centre = g_strdup(data_centre);
	domain->vms = g_ptr_array_new();
	domain->replicas = g_hash_table_new(NULL, NULL);
	g_tree_insert(p->domains, domain->name, domain);
	g_ptr_array_set_size(p->domain_list, 0);
	g_tree_foreach(p->domains, append_value, p->domain_list);
	return domain;
}

static void set_domain(struct vm *vm, struct domain *domain)
{
	guint position = 0;

	if (vm->domain == domain)
		return;
	if (vm->domain)
		g_ptr_array_remove(vm->domain->vms, vm);
	while (position < domain->vms->len &&
	       strcmp(((struct vm *)domain->vms->pdata[position])->name,
		      vm->name) < 0)
		position++;
	g_ptr_array_insert(domain->vms, (gint)position, vm);
	vm->domain = domain;
}

static void record_loss(struct placement *p, struct vm *vm, int64_t now_ms)
{
	if (now_ms - vm->lost_ms > p->opts.flap_forget_ms)
		vm->recent_losses = 0;
	vm->recent_losses++;
	vm->lost_ms = now_ms;
}

void placement_put_vm(struct placement *p, int64_t now_ms,
		      const struct placement_vm *from)
{
	struct vm *vm = model_find_vm(p, from->name);
	bool was_alive = vm && vm->alive;

	if (!vm) {
		vm = g_new0(struct vm, 1);
		vm->name = g_strdup(from->name);
		g_tree_insert(p->vms, vm->name, vm);
	}
	set_domain(vm, get_domain(p, from->domain, from->data_centre));
	set_text(&vm->pool, from->pool);
	vm->accelerators = from->accelerators;
	vm->weights = model_weights_hash(from->model, from->adapter,
					 from->version);
	vm->staged_count = MIN(from->staged_count, PLACEMENT_STAGED_MAX);
	for (uint32_t i = 0; i < vm->staged_count; i++)
		vm->staged[i] = model_weights_hash(
			from->staged[i], from->adapter, from->version);
	if (from->leaving && !vm->leaving)
		vm->leaving_since_ms = now_ms;
	vm->leaving = from->leaving;
	vm->straggling = from->straggling;
	vm->alive = from->alive;
	if (from->alive && !was_alive)
		vm->alive_since_ms = now_ms;
	if (!from->alive && was_alive)
		record_loss(p, vm, from->lost_ms ? from->lost_ms : now_ms);
}

void placement_set_preload_weights(struct placement *p, const char *name,
				   const char *model, const char *adapter,
				   const char *version)
{
	struct vm *vm = model_find_vm(p, name);

	if (vm)
		vm->preload_weights = model_weights_hash(model, adapter,
							 version);
}

void placement_set_preloading(struct placement *p, const char *name,
			      bool preloading)
{
	struct vm *vm = model_find_vm(p, name);

	if (vm)
		vm->preloading = preloading;
}

void placement_set_holder(struct placement *p, const char *name,
			  uint32_t replica, bool releasing)
{
	struct vm *vm = model_find_vm(p, name);

	if (!vm) {
		/* Assigned in the log, but not reported by any monitor yet. */
		vm = g_new0(struct vm, 1);
		vm->name = g_strdup(name);
		g_tree_insert(p->vms, vm->name, vm);
	}
	vm->holder = replica;
	vm->releasing = releasing;
}

bool model_vm_assignable(const struct placement *p, const struct vm *vm,
			 const struct service *service, int64_t now_ms)
{
	int64_t wait_ms = 0;

	if (!vm->alive || vm->leaving || vm->straggling || vm->holder ||
	    vm->reserved || vm->accelerators < service->accelerators_per_vm)
		return false;
	if (*service->pool &&
	    (!vm->pool || strcmp(vm->pool, service->pool) != 0))
		return false;
	/* The wait of a flapping VM grows with its recent losses. */
	if (vm->recent_losses > 1 &&
	    now_ms - vm->lost_ms <= p->opts.flap_forget_ms)
		wait_ms = (int64_t)p->opts.flap_wait_ms * vm->recent_losses;
	return now_ms - vm->alive_since_ms >= wait_ms;
}

bool model_vm_available(const struct vm *vm)
{
	return vm->alive && !vm->leaving;
}

/* ---- replicas ---- */

uint32_t model_domain_replicas(const struct domain *domain,
			       const struct service *service)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(domain->replicas, service));
}

/* Moves a replica to the count of its head's domain; NULL: to none. */
static void set_head_domain(struct replica *r, struct domain *domain)
{
	if (r->head_domain == domain)
		return;
	if (r->head_domain)
		g_hash_table_insert(
			r->head_domain->replicas, r->service,
			GUINT_TO_POINTER(model_domain_replicas(r->head_domain,
							       r->service) -
					 1));
	if (domain)
		g_hash_table_insert(
			domain->replicas, r->service,
			GUINT_TO_POINTER(
				model_domain_replicas(domain, r->service) + 1));
	r->head_domain = domain;
}

void placement_put_replica(struct placement *p, int64_t now_ms, uint32_t id,
			   uint64_t epoch, const char *service,
			   const char *version, const char *const *vms,
			   uint32_t vm_count)
{
	struct replica *r = g_tree_lookup(p->replicas, GUINT_TO_POINTER(id));

	g_assert(vm_count <= PLACEMENT_VMS_MAX);
	if (!r) {
		guint position = 0;

		r = g_new0(struct replica, 1);
		r->id = id;
		r->service = get_service(p, service);
		while (position < r->service->replicas->len &&
		       ((struct replica *)r->service->replicas->pdata[position])
				       ->id < id)
			position++;
		g_ptr_array_insert(r->service->replicas, (gint)position, r);
		g_tree_insert(p->replicas, GUINT_TO_POINTER(id), r);
	}
	r->epoch = epoch;
	g_free(r->version);
	r->version = g_strdup(version);
	r->healthy = false;
	r->epoch_start_ms = now_ms;
	r->vm_count = vm_count;
	for (uint32_t i = 0; i < vm_count; i++) {
		placement_set_holder(p, vms[i], id, false);
		r->vms[i] = model_find_vm(p, vms[i]);
	}
	set_head_domain(r, vm_count ? r->vms[0]->domain : NULL);
}

void placement_remove_replica(struct placement *p, uint32_t id)
{
	struct replica *r = g_tree_lookup(p->replicas, GUINT_TO_POINTER(id));

	if (!r)
		return;
	set_head_domain(r, NULL);
	g_ptr_array_remove(r->service->replicas, r);
	g_tree_remove(p->replicas, GUINT_TO_POINTER(id));
}

void placement_set_healthy(struct placement *p, uint32_t id, bool healthy)
{
	struct replica *r = g_tree_lookup(p->replicas, GUINT_TO_POINTER(id));

	if (r)
		r->healthy = healthy;
}

void placement_set_busy(struct placement *p, uint32_t id, bool busy)
{
	struct replica *r = g_tree_lookup(p->replicas, GUINT_TO_POINTER(id));

	if (r)
		r->busy = busy;
}

bool model_has_weights(const struct vm *vm, uint64_t weights)
{
	if (vm->weights == weights)
		return true;
	for (uint32_t i = 0; i < vm->staged_count; i++)
		if (vm->staged[i] == weights)
			return true;
	return false;
}

uint32_t model_lost_vms(const struct replica *r)
{
	uint32_t lost = 0;

	for (uint32_t i = 0; i < r->vm_count; i++)
		lost += model_vm_available(r->vms[i]) ? 0 : 1;
	return lost;
}

uint32_t model_loading_vms(const struct replica *r)
{
	uint32_t loading = 0;

	if (r->healthy || model_lost_vms(r))
		return 0;
	for (uint32_t i = 0; i < r->vm_count; i++)
		loading += !model_has_weights(r->vms[i], r->service->weights);
	return loading;
}

/* ---- totals ---- */

static gboolean add_vm(gpointer key, gpointer value, gpointer data)
{
	struct placement_totals *totals = data;
	const struct vm *vm = value;

	(void)key;
	if (model_vm_available(vm))
		totals->alive_accelerators += vm->accelerators;
	return FALSE;
}

void placement_get_totals(const struct placement *p,
			  struct placement_totals *totals)
{
	memset(totals, 0, sizeof(*totals));
	g_tree_foreach(p->vms, add_vm, totals);
	for (guint i = 0; i < p->service_list->len; i++) {
		const struct service *s = p->service_list->pdata[i];
		uint32_t healthy = 0;

		for (guint j = 0; j < s->replicas->len; j++) {
			const struct replica *r = s->replicas->pdata[j];

			if (!r->healthy || model_lost_vms(r))
				continue;
			healthy++;
			for (uint32_t k = 0; k < r->vm_count; k++)
				totals->healthy_accelerators +=
					r->vms[k]->accelerators;
		}
		totals->wanted_replicas += s->wanted;
		totals->healthy_replicas += MIN(healthy, s->wanted);
	}
}
