#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <rpc/rpc.h>

#include "ctl/ctl.h"
#include "ctl/explain.h"
#include "settings/service.h"
#include "wire/codec.h"

#define WATCH_INTERVAL_S 1

static int print_list(struct ctl *ctl, const char *path, const char *list,
		      const struct ctl_column *columns)
{
	int status = 0;
	json_t *answer = ctl_get(ctl, path, &status);

	return answer ? ctl_print(ctl, answer, list, columns) : status;
}

/* ---- commands that read ---- */

static int run_status(struct ctl *ctl, char **arguments)
{
	static const struct ctl_column columns[] = {
		{ "ENTRY", "node" },	     { "DATA CENTRE", "data_centre" },
		{ "CALLERS", "callers" },    { "APPLIED", "applied" },
		{ "LEASE", "lease" },	     { "DRAINING", "draining" },
		{ "FREE", "free_permille" }, { NULL, NULL },
	};
	int status = 0;
	json_t *answer = NULL;

	(void)arguments;
	/* Only the leader knows all entries: moves its address to the front. */
	for (guint i = 0; i < ctl->addresses->len; i++) {
		gpointer first = ctl->addresses->pdata[0];

		answer = ctl_get(ctl, "/v1/status", &status);
		if (!answer)
			return status;
		if (json_is_true(json_object_get(answer, "leads")) ||
		    i + 1 == ctl->addresses->len)
			break;
		json_decref(answer);
		memmove(ctl->addresses->pdata, ctl->addresses->pdata + 1,
			(ctl->addresses->len - 1) * sizeof(gpointer));
		ctl->addresses->pdata[ctl->addresses->len - 1] = first;
	}
	if (!ctl->json)
		printf("leader %lld  term %lld  commit %lld  bookings %lld\n",
		       (long long)json_integer_value(
			       json_object_get(answer, "leader")),
		       (long long)json_integer_value(
			       json_object_get(answer, "term")),
		       (long long)json_integer_value(
			       json_object_get(answer, "commit")),
		       (long long)json_integer_value(
			       json_object_get(answer, "bookings")));
	return ctl_print(ctl, answer, "entries", columns);
}

static int run_service_list(struct ctl *ctl, char **arguments)
{
	static const struct ctl_column columns[] = {
		{ "SERVICE", "name" },
		{ "KIND", "kind" },
		{ "REVISION", "revision" },
		{ "PRESET", "preset" },
		{ "REPLICAS", "replicas" },
		{ "VERSION", "version" },
		{ NULL, NULL },
	};

	(void)arguments;
	return print_list(ctl, "/v1/services", "services", columns);
}

static int run_service_show(struct ctl *ctl, char **arguments)
{
	char *path = g_strdup_printf("/v1/services/%s", arguments[0]);
	int status = 0;
	json_t *answer = ctl_get(ctl, path, &status);

	g_free(path);
	if (!answer)
		return status;
	if (ctl->json)
		return ctl_print(ctl, answer, NULL, NULL);
	printf("# revision %lld, preset %s\n%s",
	       (long long)json_integer_value(json_object_get(answer, "revisio"
								     "n")),
	       json_string_value(json_object_get(answer, "preset")),
	       json_string_value(json_object_get(answer, "text")));
	json_decref(answer);
	return 0;
}

static int run_service_history(struct ctl *ctl, char **arguments)
{
	static const struct ctl_column columns[] = {
		{ "REVISION", "revision" },
		{ "OPERATOR", "operator" },
		{ "CHANGE", "what" },
		{ "PRESET", "preset" },
		{ "TIME", "time_ms" },
		{ "CHANGE ID", "change_id" },
		{ NULL, NULL },
	};
	char *path = g_strdup_printf("/v1/services/%s/history", arguments[0]);
	int status = print_list(ctl, path, "history", columns);

	g_free(path);
	return status;
}

static int run_preset_show(struct ctl *ctl, char **arguments)
{
	static const struct ctl_column columns[] = {
		{ "PRESET", "name" },	  { "REPLICAS", "replicas" },
		{ "VERSION", "version" }, { "ADMITS", "admit" },
		{ NULL, NULL },
	};
	char *path = g_strdup_printf("/v1/services/%s", arguments[0]);
	int status = 0;
	json_t *answer = ctl_get(ctl, path, &status);

	g_free(path);
	if (!answer)
		return status;
	if (!ctl->json)
		printf("in force: %s\n",
		       json_string_value(json_object_get(answer, "preset")));
	return ctl_print(ctl, answer, "presets", columns);
}

static int run_endpoints(struct ctl *ctl, char **arguments)
{
	static const struct ctl_column columns[] = {
		{ "VM", "vm" },
		{ "STATE", "state" },
		{ "DATA CENTRE", "data_centre" },
		{ "DOMAIN", "domain" },
		{ "REPLICA", "replica" },
		{ "EPOCH", "epoch" },
		{ "RUNNING", "running" },
		{ "LOSSES", "losses" },
		{ "FENCING", "checks_fencing" },
		{ "ADDRESS", "address" },
		{ NULL, NULL },
	};

	(void)arguments;
	return print_list(ctl, "/v1/endpoints", "endpoints", columns);
}

static int run_replicas(struct ctl *ctl, char **arguments)
{
	static const struct ctl_column columns[] = {
		{ "REPLICA", "replica" },      { "SERVICE", "service" },
		{ "STATE", "state" },	       { "EPOCH", "epoch" },
		{ "VERSION", "version" },      { "VMS", "vms" },
		{ "AT FAULT", "vm_at_fault" }, { NULL, NULL },
	};

	(void)arguments;
	return print_list(ctl, "/v1/replicas", "replicas", columns);
}

static int run_replica_explain(struct ctl *ctl, char **arguments)
{
	char *path = g_strdup_printf("/v1/replicas/%s", arguments[0]);
	int status = 0;
	json_t *answer = ctl_get(ctl, path, &status);
	json_t *decisions, *line;
	size_t i;

	g_free(path);
	if (!answer)
		return status;
	if (ctl->json)
		return ctl_print(ctl, answer, NULL, NULL);
	printf("replica %s of %s: %s %s\n", arguments[0],
	       json_string_value(json_object_get(answer, "service")),
	       json_string_value(json_object_get(answer, "state")),
	       json_string_value(json_object_get(answer, "vm_at_fault")));
	decisions = json_object_get(answer, "decisions");
	json_array_foreach(decisions, i, line)
		printf("  %s\n", json_string_value(line));
	json_decref(answer);
	return 0;
}

static int run_accounts(struct ctl *ctl, char **arguments)
{
	static const struct ctl_column columns[] = {
		{ "SERVICE", "service" },	{ "ACCOUNT", "account" },
		{ "WEIGHT", "weight" },		{ "PRIORITY", "priority" },
		{ "LIMIT", "max_outstanding" }, { NULL, NULL },
	};

	(void)arguments;
	return print_list(ctl, "/v1/accounts", "accounts", columns);
}

static int run_member_list(struct ctl *ctl, char **arguments)
{
	static const struct ctl_column columns[] = {
		{ "NODE", "node" },
		{ "ROLE", "role" },
		{ "LEADER", "leader" },
		{ "DATA CENTRE", "data_centre" },
		{ "SILENT MS", "silent_ms" },
		{ "MATCH", "match" },
		{ "ADDRESS", "address" },
		{ "MEMBER", "member" },
		{ NULL, NULL },
	};

	(void)arguments;
	return print_list(ctl, "/v1/members", "members", columns);
}

static int run_decisions(struct ctl *ctl, char **arguments)
{
	int status = 0;
	json_t *answer = ctl_get(ctl, "/v1/decisions", &status);
	json_t *line;
	size_t i;

	(void)arguments;
	if (!answer)
		return status;
	if (ctl->json)
		return ctl_print(ctl, answer, NULL, NULL);
	json_array_foreach(json_object_get(answer, "decisions"), i, line)
		printf("%s\n", json_string_value(line));
	json_decref(answer);
	return 0;
}

static int run_watch(struct ctl *ctl, char **arguments)
{
	for (;;) {
		int status = run_replicas(ctl, arguments);

		if (status)
			return status;
		printf("\n");
		fflush(stdout);
		sleep(WATCH_INTERVAL_S);
	}
}

/* ---- commands that change ---- */

static int read_service_file(const char *path, char **text,
			     struct apply_service *change)
{
	GError *error = NULL;
	char *errors = NULL;
	enum rd_result code;

	if (!g_file_get_contents(path, text, NULL, &error)) {
		fprintf(stderr, "radishdealctl: %s\n", error->message);
		g_error_free(error);
		return rd_result_info(RD_IO)->exit_status;
	}
	code = service_settings_read(path, *text, change, &errors);
	if (code) {
		fprintf(stderr, "%s\n", errors);
		g_free(errors);
	}
	return rd_result_info(code)->exit_status;
}

static int run_check(struct ctl *ctl, char **arguments)
{
	struct apply_service change = { 0 };
	char *text = NULL;
	int status = read_service_file(arguments[0], &text, &change);

	(void)ctl;
	if (!status)
		printf("%s: ok\n", arguments[0]);
	CODEC_FREE(apply_service, &change);
	g_free(text);
	return status;
}

static int run_service_apply(struct ctl *ctl, char **arguments)
{
	struct apply_service change = { 0 };
	char *text = NULL;
	int status = read_service_file(arguments[0], &text, &change);

	if (!status)
		status = ctl_change(ctl, "POST", "/v1/services", "", text,
				    change.spec.name);
	CODEC_FREE(apply_service, &change);
	g_free(text);
	return status;
}

static int send_service_change(struct ctl *ctl, const char *method,
			       const char *service, const char *part,
			       const char *query)
{
	char *path = g_strdup_printf("/v1/services/%s%s", service, part);
	int status = ctl_change(ctl, method, path, query, "", service);

	g_free(path);
	return status;
}

static int run_preset_switch(struct ctl *ctl, char **arguments)
{
	char *query = g_strdup_printf("preset=%s", arguments[1]);
	int status = send_service_change(ctl, "POST", arguments[0], "/preset",
					 query);

	g_free(query);
	return status;
}

static int run_service_rollback(struct ctl *ctl, char **arguments)
{
	char *query = g_strdup_printf("to=%s", arguments[1]);
	int status = send_service_change(ctl, "POST", arguments[0], "/rollback",
					 query);

	g_free(query);
	return status;
}

static int run_service_remove(struct ctl *ctl, char **arguments)
{
	return send_service_change(ctl, "DELETE", arguments[0], "", "");
}

static int send_member_change(struct ctl *ctl, const char *action,
			      const char *node)
{
	char *query = g_strdup_printf("action=%s&node=%s", action, node);
	int status = ctl_change(ctl, "POST", "/v1/members", query, "", NULL);

	g_free(query);
	return status;
}

static int run_member_promote(struct ctl *ctl, char **arguments)
{
	return send_member_change(ctl, "promote", arguments[0]);
}

static int run_member_demote(struct ctl *ctl, char **arguments)
{
	return send_member_change(ctl, "demote", arguments[0]);
}

static int run_member_remove(struct ctl *ctl, char **arguments)
{
	return send_member_change(ctl, "remove", arguments[0]);
}

static int run_drain(struct ctl *ctl, char **arguments)
{
	bool on = !strcmp(arguments[0], "on");

	if (!on && strcmp(arguments[0], "off") != 0) {
		fprintf(stderr, "radishdealctl: drain: must be on or off\n");
		return rd_result_info(RD_BAD_REQUEST)->exit_status;
	}
	/* A drain affects only the VM that receives the request. */
	if (ctl->addresses->len != 1) {
		fprintf(stderr, "radishdealctl: drain: give exactly one "
				"address with --server\n");
		return rd_result_info(RD_BAD_REQUEST)->exit_status;
	}
	return ctl_change(ctl, "POST", "/v1/drain", on ? "on=1" : "on=0", "",
			  NULL);
}

static int run_explain(struct ctl *ctl, char **arguments)
{
	(void)ctl;
	return explain_request(arguments[0], arguments + 1);
}

const struct ctl_command ctl_commands[] = {
	{ "status", "", 0, "leader, entries, leases",
	  "Prints the leader and, for each entry, the last change that it has\n"
	  "applied, whether its lease is valid, and its free capacity.",
	  run_status },
	{ "service list", "", 0, "services and their presets in force",
	  "Lists the services, each with its revision and its preset.",
	  run_service_list },
	{ "service show", "SERVICE", 1, "configuration of a service",
	  "Prints the TOML file that was last accepted for the service.",
	  run_service_show },
	{ "service apply", "FILE", 1, "creates or changes a service",
	  "Checks the file, then makes it the service's next revision. If the\n"
	  "service was changed after the revision --base (without it: after\n"
	  "this command started), the change is rejected as a conflict.",
	  run_service_apply },
	{ "service history", "SERVICE", 1, "revisions of a service",
	  "Lists the revisions and the operators that made them.\n"
	  "A revision is never changed.",
	  run_service_history },
	{ "service rollback", "SERVICE REVISION", 2, "restores an old revision",
	  "Copies an old revision, including its preset, into a new one.",
	  run_service_rollback },
	{ "service remove", "SERVICE", 1, "removes a service",
	  "Rejected unless the preset in force admits no requests.",
	  run_service_remove },
	{ "preset show", "SERVICE", 1, "presets of a service",
	  "Lists the presets and names the one in force.", run_preset_show },
	{ "preset switch", "SERVICE PRESET", 2, "puts a preset in force",
	  "Exactly one preset is in force at any time. With --wait, the\n"
	  "command returns once every entry has applied the switch or its\n"
	  "lease has certainly expired.",
	  run_preset_switch },
	{ "endpoints", "", 0, "VMs that send announcements",
	  "Lists the VMs, the replica each one runs, and how often each\n"
	  "was lost.",
	  run_endpoints },
	{ "replicas", "", 0, "replicas and the VMs that make them unhealthy",
	  "Lists all placed replicas, healthy or not.", run_replicas },
	{ "replica explain", "REPLICA", 1, "reasons for the state of a replica",
	  "Prints the replica's state, the VM at fault, and the placement\n"
	  "decisions about it. Use the leader's address: only the leader\n"
	  "makes these decisions.",
	  run_replica_explain },
	{ "decisions", "", 0, "latest placement decisions",
	  "Prints the latest placement decisions of the VM that answers.",
	  run_decisions },
	{ "accounts", "", 0, "client accounts",
	  "Lists the client accounts of all services.", run_accounts },
	{ "member list", "", 0, "members of the consensus group",
	  "Lists voters and learners; the leader also reports their lag.",
	  run_member_list },
	{ "member promote", "NODE", 1, "makes a learner a voter",
	  "Membership changes are made one at a time.", run_member_promote },
	{ "member demote", "NODE", 1, "makes a voter a learner",
	  "Use this before a long repair of the voter's VM.",
	  run_member_demote },
	{ "member remove", "NODE", 1, "removes a stopped VM from the group",
	  "Rejected while the VM runs, as it would join again.",
	  run_member_remove },
	{ "drain", "on|off", 1, "stops or resumes new requests at one entry",
	  "Requests in flight continue. The entry is no longer among the\n"
	  "addresses given to callers.",
	  run_drain },
	{ "watch", "", 0, "prints the replicas every second",
	  "Prints the table of replicas every second until interrupted.",
	  run_watch },
	{ "explain", "REQUEST-ID FILE...", CTL_AT_LEAST(2),
	  "path of a request, from logs",
	  "Reads JSON logs of one or more processes. Prints the lines about\n"
	  "the request, the lines about its replicas and their VMs from the\n"
	  "same time, and the outcome. Sends no requests.",
	  run_explain },
	{ "check", "FILE", 1, "checks a service's file",
	  "Lists every error and exits with 78 if there are any.", run_check },
	{ 0 }
};
