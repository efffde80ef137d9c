/*
 * Uses the library's placement and routing without the daemon: places a service
 * on four VMs, marks one as lost, and routes a request to a healthy replica.
 */
#include <stdio.h>

#include <radishdeal/placement.h>
#include <radishdeal/router.h>

static void print_decision(void *ctx, const struct placement_decision *d)
{
	(void)ctx;
	printf("%s %s:", placement_action_name(d->action), d->service);
	for (uint32_t i = 0; i < d->vm_count; i++)
		printf(" %s", d->vms[i]);
	printf(" (%s)\n", d->reason);
}

static void put_vm(struct placement *placement, int64_t now_ms,
		   const char *name, bool alive)
{
	struct placement_vm vm = {
		.name = name,
		.domain = "rack-1",
		.data_centre = "lagos-1",
		.model = "",
		.adapter = "",
		.version = "",
		.accelerators = 8,
		.alive = alive,
		.lost_ms = alive ? 0 : now_ms,
	};

	placement_put_vm(placement, now_ms, &vm);
}

int main(void)
{
	static const char *const names[] = { "vm-1", "vm-2", "vm-3", "vm-4" };
	struct placement_opts placement_opts = { .pause_wait_ms = 1000,
						 .loads_max = 2,
						 .no_preload = true };
	struct placement_service service = { .name = "assistant",
					     .model = "tuner-70b",
					     .adapter = "",
					     .version = "1",
					     .replicas = 1,
					     .vms_per_replica = 2,
					     .accelerators_per_vm = 8,
					     .downtime_weight = 10 };
	struct placement *placement = placement_create(&placement_opts);
	struct router_opts router_opts = { .seed = 1, .entry = 1 };
	struct router *router = router_create(&router_opts);
	struct router_request request = { .prompt_tokens = 100,
					  .output_tokens = 50 };
	struct router_choice choice;

	placement_put_service(placement, &service);
	for (int i = 0; i < 4; i++)
		put_vm(placement, 0, names[i], true);
	placement_plan(placement, 0, print_decision, NULL);
	placement_put_replica(placement, 0, 1, 1, "assistant", "1", names, 2);
	placement_set_healthy(placement, 1, true);

	put_vm(placement, 5000, "vm-2", false);
	placement_plan(placement, 5500, print_decision, NULL);
	placement_plan(placement, 6500, print_decision, NULL);

	router_put(router, 1, 1, 16, "10.0.0.1:8000");
	router_put(router, 2, 1, 16, "10.0.0.2:8000");
	router_set_health(router, 1, 0, "vm-silent");
	router_set_health(router, 2, 10000, "whole");
	router_choose(router, 7000, ROUTER_FILL_FREE_SLOT, &request, &choice);
	printf("route to replica %u, left out %s\n", choice.replica,
	       choice.excluded);

	router_destroy(router);
	placement_destroy(placement);
	return choice.replica == 2 ? 0 : 1;
}
