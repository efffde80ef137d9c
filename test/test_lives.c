/*
 * The replicated state over a system's whole life: thousands of names, replicas
 * and changes, one after the other, against the bounds of the encoding. At each
 * age it can be saved, so that entries and new members can get it.
 */
#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include <radishdeal/state.h>

#include "wire/codec.h"

#define SERVICES_PER_DEPLOYMENT 20
#define DEPLOYMENTS 300
#define NATIVE_SERVICES (RD_SERVICES_MAX + 50)
#define REPLICAS (RD_REPLICAS_MAX + 50)
#define SERVICE "model"
/* Between two looks at whether the state can be saved. */
#define SAVE_INTERVAL 1000
/*
 * What a state may grow by while as much is in use: the counters in it, and the
 * digits of the names.
 */
#define GROWTH_MAX_BYTES 4096

struct life {
	struct state *state;
	uint64_t index;
};

/* ---- commands ---- */

static int apply(struct life *life, const struct command *command)
{
	struct apply_result result = { 0 };
	int code;

	state_apply(life->state, ++life->index, command, &result);
	code = result.code;
	state_result_clear(&result);
	return code;
}

static struct command new_command(enum command_kind kind)
{
	return (struct command){
		.change_id = (char *)"",
		.operator_name = (char *)"",
		.body.kind = kind,
	};
}

static struct preset_spec standing = { (char *)"standing", 1, (char *)"1",
				       TRUE };

static struct service_spec new_spec(char *name, bool from_deployment)
{
	return (struct service_spec){
		.name = name,
		.pool = (char *)"",
		.model = (char *)"m",
		.adapter = (char *)"",
		.from_deployment = from_deployment,
		.vms_per_replica = 1,
		.slots_per_replica = 1,
		.presets = { 1, &standing },
	};
}

static int deploy(struct life *life, uint64_t revision, u_int services)
{
	struct service_spec *specs = g_new0(struct service_spec, services);
	struct command command = new_command(CMD_DEPLOY);
	struct deployment *d = &command.body.command_body_u.deploy;
	int code;

	for (u_int i = 0; i < services; i++)
		specs[i] = new_spec(
			g_strdup_printf("app-%u-%" PRIu64, i, revision), true);
	d->revision = revision;
	d->services.services_len = services;
	d->services.services_val = specs;
	code = apply(life, &command);
	for (u_int i = 0; i < services; i++)
		g_free(specs[i].name);
	g_free(specs);
	return code;
}

static int add_service(struct life *life, char *name)
{
	struct command command = new_command(CMD_APPLY_SERVICE);
	struct apply_service *change = &command.body.command_body_u.apply;

	change->spec = new_spec(name, false);
	change->preset = (char *)"";
	change->text = (char *)"";
	return apply(life, &command);
}

static int remove_service(struct life *life, char *name)
{
	struct command command = new_command(CMD_REMOVE_SERVICE);

	command.body.command_body_u.service = name;
	command.base_revision =
		state_service(life->state, name)
			? state_service(life->state, name)->revision
			: 0;
	return apply(life, &command);
}

static void form_replica(struct life *life, uint32_t replica)
{
	struct command command = new_command(CMD_ASSIGN_REPLICA);
	struct assign_replica *change = &command.body.command_body_u.assign;
	struct vm_ref vm = { (char *)"vm", (char *)"127.0.0.1:1", (char *)"",
			     (char *)"", 1 };

	change->replica = replica;
	change->service = (char *)SERVICE;
	change->epoch = state_last_epoch(life->state) + 1;
	change->model_version = (char *)"1";
	change->vms.vms_len = 1;
	change->vms.vms_val = &vm;
	assert_int_equal(RD_OK, apply(life, &command));
}

static void dissolve_replica(struct life *life, uint32_t replica)
{
	struct command command = new_command(CMD_RELEASE_REPLICA);
	struct release_replica *change = &command.body.command_body_u.release;

	change->replica = replica;
	change->epoch = state_last_epoch(life->state);
	assert_int_equal(RD_OK, apply(life, &command));
}

static void take_vm_back(struct life *life, uint32_t replica)
{
	struct command command = new_command(CMD_FREE_VM);
	struct free_vm *change = &command.body.command_body_u.freed;

	change->vm = (char *)"vm";
	change->replica = replica;
	change->epoch = state_last_epoch(life->state);
	assert_int_equal(RD_OK, apply(life, &command));
}

/* ---- checks ---- */

static GBytes *save(const struct life *life)
{
	GBytes *for_entries = state_save(life->state, false);
	GBytes *all = state_save(life->state, true);

	assert_non_null(for_entries);
	assert_non_null(all);
	g_bytes_unref(for_entries);
	return all;
}

static size_t saved_bytes(const struct life *life)
{
	GBytes *all = save(life);
	size_t bytes = g_bytes_get_size(all);

	g_bytes_unref(all);
	return bytes;
}

/* All processes start again, from what they have saved. */
static void restart(struct life *life)
{
	GBytes *all = save(life);

	state_destroy(life->state);
	life->state = state_create();
	assert_true(state_load(life->state, all));
	g_bytes_unref(all);
}

static void begin(struct life *life)
{
	life->state = state_create();
	life->index = 0;
}

static void end(struct life *life)
{
	state_destroy(life->state);
}

/* ---- tests ---- */

/*
 * Guards against CONFIG: once 4,096 names of services had been in any version,
 * the state couldn't be saved and no entry got a newer configuration.
 */
static void test_each_deployment_names_its_services_anew(void **state)
{
	struct life life;
	size_t first_bytes;

	(void)state;
	begin(&life);
	assert_int_equal(RD_OK, deploy(&life, 1, SERVICES_PER_DEPLOYMENT));
	first_bytes = saved_bytes(&life);
	for (uint64_t revision = 2; revision <= DEPLOYMENTS; revision++) {
		assert_int_equal(RD_OK, deploy(&life, revision,
					       SERVICES_PER_DEPLOYMENT));
		assert_true(saved_bytes(&life) <
			    first_bytes + GROWTH_MAX_BYTES);
	}
	restart(&life);
	assert_int_equal(RD_OK, deploy(&life, DEPLOYMENTS + 1,
				       SERVICES_PER_DEPLOYMENT));
	assert_non_null(state_service(life.state, "app-0-301"));
	assert_null(state_service(life.state, "app-0-300"));
	end(&life);
}

/* The state of a build that kept removed services, at the bound already. */
static void test_state_at_the_bound_comes_back(void **state)
{
	struct service_state *services = g_new0(struct service_state,
						RD_SERVICES_MAX);
	struct state_image image = { .index = 1 };
	struct deployment deployed = { .revision = 1 };
	struct life life;
	GBytes *bytes;

	(void)state;
	for (u_int i = 0; i < RD_SERVICES_MAX; i++) {
		char *name = g_strdup_printf("old-%u", i);

		services[i] = (struct service_state){
			.name = name,
			.revision = 1,
			.removed = TRUE,
			.spec = new_spec(name, true),
			.preset = standing.name,
			.text = (char *)"",
		};
	}
	image.deployed.deployed_len = 1;
	image.deployed.deployed_val = &deployed;
	image.services.services_len = RD_SERVICES_MAX;
	image.services.services_val = services;
	bytes = CODEC_ENCODE(state_image, &image);
	begin(&life);
	assert_true(state_load(life.state, bytes));
	assert_int_equal(RD_OK, deploy(&life, 2, SERVICES_PER_DEPLOYMENT));
	assert_true(saved_bytes(&life) < g_bytes_get_size(bytes) / 10);
	end(&life);
	g_bytes_unref(bytes);
	for (u_int i = 0; i < RD_SERVICES_MAX; i++)
		g_free(services[i].name);
	g_free(services);
}

/* A name that returns goes on with its revisions, and keeps its history. */
static void test_service_of_operators_keeps_its_history(void **state)
{
	struct life life;
	uint64_t revision;

	(void)state;
	begin(&life);
	standing.admit = FALSE;
	assert_int_equal(RD_OK, add_service(&life, (char *)"a"));
	assert_int_equal(RD_OK, remove_service(&life, (char *)"a"));
	restart(&life);
	assert_int_equal(RD_OK, add_service(&life, (char *)"a"));
	revision = state_service(life.state, "a")->revision;
	assert_int_equal(3, revision);
	assert_int_equal(3,
			 state_service(life.state, "a")->history.history_len);
	standing.admit = TRUE;
	end(&life);
}

/*
 * Operators add and remove services; of those that are removed, the one that
 * was removed first gives way at the bound.
 */
static void test_operators_add_and_remove_services(void **state)
{
	struct life life;

	(void)state;
	begin(&life);
	standing.admit = FALSE;
	for (int i = 0; i < NATIVE_SERVICES; i++) {
		char *name = g_strdup_printf("s-%d", i);

		assert_int_equal(RD_OK, add_service(&life, name));
		assert_int_equal(RD_OK, remove_service(&life, name));
		if (i % SAVE_INTERVAL == 0)
			(void)saved_bytes(&life);
		g_free(name);
	}
	restart(&life);
	assert_int_equal(RD_OK, add_service(&life, (char *)"last"));
	standing.admit = TRUE;
	end(&life);
}

/* More services than can be saved are refused, and nothing is changed. */
static void test_more_services_than_the_bound_are_refused(void **state)
{
	struct life life;

	(void)state;
	begin(&life);
	assert_int_equal(RD_OK, add_service(&life, (char *)"a"));
	assert_int_equal(RD_TOO_LARGE, deploy(&life, 1, RD_SERVICES_MAX));
	assert_null(state_deployment(life.state));
	assert_int_equal(RD_OK, deploy(&life, 1, RD_SERVICES_MAX - 1));
	assert_int_equal(RD_TOO_LARGE, add_service(&life, (char *)"b"));
	assert_null(state_service(life.state, "b"));
	restart(&life);
	/* Those of the deployment give way to a later one. */
	assert_int_equal(RD_OK, deploy(&life, 2, 1));
	assert_int_equal(RD_OK, add_service(&life, (char *)"b"));
	end(&life);
}

/* Replicas are formed and released under ever new numbers. */
static void test_replicas_are_formed_and_released(void **state)
{
	struct life life;

	(void)state;
	begin(&life);
	assert_int_equal(RD_OK, add_service(&life, (char *)SERVICE));
	for (uint32_t i = 1; i <= REPLICAS; i++) {
		assert_int_equal(i, state_next_replica_number(life.state));
		form_replica(&life, i);
		dissolve_replica(&life, i);
		take_vm_back(&life, i);
		if (i % SAVE_INTERVAL == 0)
			(void)saved_bytes(&life);
	}
	assert_true(saved_bytes(&life) < GROWTH_MAX_BYTES);
	restart(&life);
	assert_int_equal(REPLICAS + 1, state_next_replica_number(life.state));
	end(&life);
}

/* The state of a build that kept released replicas, at the bound already. */
static void test_released_replicas_at_the_bound_come_back(void **state)
{
	struct replica_state *replicas = g_new0(struct replica_state,
						RD_REPLICAS_MAX);
	struct state_image image = { .index = 1 };
	struct life life;
	GBytes *bytes;

	(void)state;
	for (u_int i = 0; i < RD_REPLICAS_MAX; i++) {
		replicas[i].released = TRUE;
		replicas[i].assign.replica = i + 1;
		replicas[i].assign.service = (char *)SERVICE;
		replicas[i].assign.model_version = (char *)"1";
	}
	image.replicas.replicas_len = RD_REPLICAS_MAX;
	image.replicas.replicas_val = replicas;
	bytes = CODEC_ENCODE(state_image, &image);
	begin(&life);
	assert_true(state_load(life.state, bytes));
	assert_int_equal(RD_REPLICAS_MAX + 1,
			 state_next_replica_number(life.state));
	assert_true(saved_bytes(&life) < GROWTH_MAX_BYTES);
	end(&life);
	g_bytes_unref(bytes);
	g_free(replicas);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_each_deployment_names_its_services_anew),
		cmocka_unit_test(test_state_at_the_bound_comes_back),
		cmocka_unit_test(test_service_of_operators_keeps_its_history),
		cmocka_unit_test(test_operators_add_and_remove_services),
		cmocka_unit_test(test_more_services_than_the_bound_are_refused),
		cmocka_unit_test(test_replicas_are_formed_and_released),
		cmocka_unit_test(test_released_replicas_at_the_bound_come_back),
	};

	return cmocka_run_group_tests_name("lives", tests, NULL, NULL);
}
