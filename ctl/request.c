/* Requests to the operators' ports. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/fetch.h"
#include "ctl/ctl.h"

#define READ_TIMEOUT_MS 5000
#define CHANGE_TIMEOUT_MS 12000
#define ATTEMPTS_MAX 20
#define ATTEMPT_INTERVAL_US 200000

static int print_error(const char *address, const struct fetch_response *answer)
{
	json_t *body = json_loads(answer->body ? answer->body : "", 0, NULL);
	int code = (int)json_integer_value(json_object_get(body, "code"));
	const char *detail = json_string_value(json_object_get(body, "detail"));
	const struct rd_result_info *info = rd_result_info(code ? code
								: RD_INTERNAL);
	json_t *revision = json_object_get(body, "revision");

	fprintf(stderr, "radishdealctl: %s: %s (%d): %s\n", address, info->name,
		(int)info->code, detail ? detail : info->text);
	if (revision)
		fprintf(stderr, "radishdealctl: current revision is %lld\n",
			(long long)json_integer_value(revision));
	json_decref(body);
	return info->exit_status;
}

static int print_no_answer(void)
{
	const struct rd_result_info *info = rd_result_info(RD_TIMEOUT);

	fprintf(stderr, "radishdealctl: %s (%d): no VM answered\n", info->name,
		(int)info->code);
	return info->exit_status;
}

json_t *ctl_get(struct ctl *ctl, const char *path, int *exit_status)
{
	struct fetch_response answer;

	for (guint i = 0; i < ctl->addresses->len; i++) {
		struct fetch_request request = {
			.address = ctl->addresses->pdata[i],
			.method = "GET",
			.path = path,
			.key = ctl->key,
			.timeout_ms = READ_TIMEOUT_MS,
		};
		json_t *body = NULL;

		if (!fetch(&request, &answer)) {
			fetch_clear(&answer);
			continue;
		}
		if (answer.status == 200)
			body = json_loads(answer.body, 0, NULL);
		else
			*exit_status = print_error(request.address, &answer);
		fetch_clear(&answer);
		return body;
	}
	*exit_status = print_no_answer();
	return NULL;
}

/*
 * Whether another VM may decide a change that this one did not. Sets
 * *maybe_accepted if this one may have accepted it.
 */
static bool must_try_next(const struct fetch_response *answer,
			  bool *maybe_accepted)
{
	json_t *body = json_loads(answer->body ? answer->body : "", 0, NULL);
	int code = (int)json_integer_value(json_object_get(body, "code"));

	json_decref(body);
	*maybe_accepted |= code == RD_CHANGE_UNKNOWN;
	return code == RD_NOT_LEADER || code == RD_NO_QUORUM ||
	       code == RD_CHANGE_UNKNOWN;
}

/* Asks all VMs; -1 if none of them can tell the service's revision. */
static int64_t ask_revision(struct ctl *ctl, const char *path)
{
	int64_t revision = -1;

	for (guint i = 0; i < ctl->addresses->len; i++) {
		struct fetch_request request = {
			.address = ctl->addresses->pdata[i],
			.method = "GET",
			.path = path,
			.key = ctl->key,
			.timeout_ms = READ_TIMEOUT_MS,
		};
		struct fetch_response answer;
		json_t *body = NULL;
		bool unused = false;
		bool ok = fetch(&request, &answer) &&
			  !must_try_next(&answer, &unused);

		if (ok && answer.status == 200)
			body = json_loads(answer.body, 0, NULL);
		/* Each VM may lag behind; the highest revision is current. */
		if (ok)
			revision = MAX(revision,
				       json_integer_value(
					       json_object_get(body, "revisio"
								     "n")));
		json_decref(body);
		fetch_clear(&answer);
	}
	return revision;
}

/*
 * Returns the current revision, the base of a change if none was given; -1 if
 * no VM can tell.
 */
static int64_t current_revision(struct ctl *ctl, const char *service)
{
	char *path = g_strdup_printf("/v1/services/%s", service);
	int64_t revision = ask_revision(ctl, path);

	for (int i = 1; i < ATTEMPTS_MAX && revision < 0; i++) {
		usleep(ATTEMPT_INTERVAL_US);
		revision = ask_revision(ctl, path);
	}
	g_free(path);
	return revision;
}

static int print_accepted(const struct ctl *ctl, const char *body)
{
	json_t *answer = json_loads(body, 0, NULL);
	json_t *revision = json_object_get(answer, "revision");

	if (ctl->json)
		printf("%s\n", body);
	else if (revision)
		printf("accepted, revision %lld%s\n",
		       (long long)json_integer_value(revision),
		       json_is_true(json_object_get(answer, "in_force"))
			       ? ", in force everywhere"
			       : "");
	else
		printf("accepted\n");
	json_decref(answer);
	return 0;
}

/*
 * Sends a change to the addresses in turn. Returns true, with *exit_status set,
 * if a VM accepted or rejected it.
 */
static bool try_addresses(struct ctl *ctl, const struct fetch_request *request,
			  bool *maybe_accepted, int *exit_status)
{
	for (guint i = 0; i < ctl->addresses->len; i++) {
		struct fetch_request r = *request;
		struct fetch_response answer;
		bool ok;

		r.address = ctl->addresses->pdata[i];
		ok = fetch(&r, &answer);
		*maybe_accepted |= !ok && answer.sent;
		if (ok && !must_try_next(&answer, maybe_accepted)) {
			*exit_status =
				answer.status == 200
					? print_accepted(ctl, answer.body)
					: print_error(r.address, &answer);
			fetch_clear(&answer);
			return true;
		}
		fetch_clear(&answer);
	}
	return false;
}

static char *generate_change_id(void)
{
	char *uuid = g_uuid_string_random();

	return uuid;
}

static char *interrupt_text; /* set while the signals are handled */

static void on_interrupt(int signal_number)
{
	(void)!write(STDERR_FILENO, interrupt_text, strlen(interrupt_text));
	/* SA_RESETHAND: ends the process once this handler has returned. */
	raise(signal_number);
}

/* Makes an interrupted change print how to repeat it without a second one. */
static void handle_interrupts(void (*handler)(int))
{
	static const int signals[] = { SIGINT, SIGTERM, SIGHUP };
	struct sigaction action = { .sa_handler = handler,
				    .sa_flags = (int)SA_RESETHAND };
	struct sigaction old;

	for (size_t i = 0; i < G_N_ELEMENTS(signals); i++) {
		sigaction(signals[i], NULL, &old);
		if (old.sa_handler != SIG_IGN)
			sigaction(signals[i], &action, NULL);
	}
}

int ctl_change(struct ctl *ctl, const char *method, const char *path,
	       const char *query, const char *body, const char *service)
{
	char *id = ctl->change_id ? g_strdup(ctl->change_id)
				  : generate_change_id();
	int64_t base = ctl->base_revision >= 0 ? ctl->base_revision
		       : service	       ? current_revision(ctl, service)
					       : 0;
	char *target = g_strdup_printf("%s?change_id=%s&base=%" G_GINT64_FORMAT
				       "&wait_ms=%" G_GINT64_FORMAT "%s%s",
				       path, id, base, ctl->wait_ms,
				       *query ? "&" : "", query);
	struct fetch_request request = {
		.method = method,
		.path = target,
		.key = ctl->key,
		.body = body,
		.body_size = -1,
		.timeout_ms = CHANGE_TIMEOUT_MS + (int)ctl->wait_ms,
	};
	bool maybe_accepted = false;
	int exit_status = -1;

	if (base < 0) {
		exit_status = print_no_answer();
		goto done;
	}
	interrupt_text = g_strdup_printf("radishdealctl: interrupted; the "
					 "change may have been "
					 "accepted; repeat the command with "
					 "--change-id %s --base "
					 "%" G_GINT64_FORMAT "\n",
					 id, base);
	handle_interrupts(on_interrupt);
	for (int i = 0; i < ATTEMPTS_MAX; i++) {
		if (try_addresses(ctl, &request, &maybe_accepted, &exit_status))
			break;
		usleep(ATTEMPT_INTERVAL_US);
	}
	handle_interrupts(SIG_DFL);
	g_free(interrupt_text);
	if (exit_status < 0 && maybe_accepted) {
		fprintf(stderr,
			"radishdealctl: no answer, so the change may have been "
			"accepted; repeat the command with "
			"--change-id %s --base %" G_GINT64_FORMAT "\n",
			id, base);
		exit_status = rd_result_info(RD_CHANGE_UNKNOWN)->exit_status;
	} else if (exit_status < 0) {
		exit_status = print_no_answer();
	}
done:
	g_free(target);
	g_free(id);
	return exit_status;
}
