/* Polls of an entry VM, against two control nodes played by this test. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "common/log.h"
#include "control/control_internal.h"
#include "wire/codec.h"

#define CONTROL_NODES 2u
#define ENTRY_NODE 3
#define LEASE_MS 1000
/* Between the two polls; less than the lease. */
#define GAP_MS 400
#define START_MS 100000
#define WATCHDOG_S 60

struct world;

struct control_node {
	struct world *world;
	struct rpc_identity identity;
	struct rpc_server *server;
	char *address;
};

struct world {
	int64_t now_ms; /* advanced only by hold_poll() */
	struct clock_source clock;
	struct task *task;
	struct counters *counters;
	GBytes *key;
	struct control_node nodes[CONTROL_NODES];
	struct daemon_settings settings;
	struct rpc_identity identity;
	struct control *control;
	struct rpc_call *held; /* poll to be answered late; NULL if none */
	int64_t held_sent_ms;
	bool updated;
	int64_t lease_until_ms;
};

static int64_t world_now_us(void *ctx)
{
	return ((struct world *)ctx)->now_ms * 1000;
}

/* ---- the control nodes ---- */

/* Keeps a poll, and names another leader so that the entry abandons it. */
static void hold_poll(struct world *w, uint32_t node, struct rpc_call *call)
{
	w->held = call;
	w->held_sent_ms = w->now_ms;
	w->now_ms += GAP_MS;
	follow_on_update(w->control->follow, CONTROL_NODES + 1 - node);
}

static void answer_held(struct world *w)
{
	struct poll_reply reply = { .leader = 1, .lease_ms = LEASE_MS };
	GBytes *bytes = CODEC_ENCODE(poll_reply, &reply);

	rpc_call_reply(w->held, bytes);
	g_bytes_unref(bytes);
	w->held = NULL;
	/* If the held poll has timed out by now, this starts over. */
	follow_poll_now(w->control->follow);
}

static void serve(void *ctx, struct rpc_call *call, uint32_t peer,
		  enum rpc_proc proc, const void *args, size_t size)
{
	struct control_node *node = ctx;
	struct world *w = node->world;

	(void)peer;
	(void)args;
	(void)size;
	if (proc == RPC_POLL && !w->held && !w->updated) {
		hold_poll(w, node->identity.node, call);
		return;
	}
	if (proc == RPC_POLL && w->held)
		answer_held(w);
	rpc_call_discard(call);
}

static void start_node(struct world *w, uint32_t number)
{
	struct control_node *node = &w->nodes[number - 1];
	struct rpc_server_opts opts = {
		.base = task_base(w->task),
		.identity = &node->identity,
		.address = "127.0.0.1:0",
		.handle_call = serve,
		.ctx = node,
		.max_connections = 8,
	};
	struct peer_settings *peer = g_new0(struct peer_settings, 1);

	node->world = w;
	node->identity = w->identity;
	node->identity.node = number;
	node->server = rpc_server_create(&opts);
	assert_non_null(node->server);
	node->address = g_strdup_printf("127.0.0.1:%d",
					rpc_server_port(node->server));
	peer->id = number;
	peer->data_centre = (char *)"a";
	peer->address = node->address;
	peer->control = true;
	g_ptr_array_add(w->settings.cluster.peers, peer);
}

/* ---- the entry ---- */

static void on_config(void *ctx, struct config_update *update)
{
	struct world *w = ctx;

	w->updated = true;
	w->lease_until_ms = update->lease_until_ms;
	CODEC_FREE(poll_reply, &update->reply);
	g_free(update);
	event_base_loopbreak(task_base(w->task));
}

static void start_entry(struct world *w)
{
	static const struct control_driver driver = { .open = NULL };
	enum rd_result code = RD_OK;
	char *why = NULL;
	struct control_opts opts = {
		.driver = &driver,
		.settings = &w->settings,
		.clock = &w->clock,
		.counters = w->counters,
		.task = w->task,
		.identity = &w->identity,
		.operator_keys = "",
		.listener = { .config = on_config, .ctx = w },
	};

	w->control = control_create(&opts, &code, &why);
	if (!w->control)
		fail_msg("%d %s", code, why ? why : "");
	control_start(w->control);
}

static void world_init(struct world *w)
{
	struct daemon_settings *s = &w->settings;

	memset(w, 0, sizeof(*w));
	w->now_ms = START_MS;
	w->clock = (struct clock_source){ world_now_us, w };
	w->task = task_create("follow");
	w->counters = counters_create();
	w->key = g_bytes_new_static("0123456789abcdef0123456789abcdef", 32);
	w->identity.cluster = "follow";
	w->identity.node = ENTRY_NODE;
	w->identity.keys[0] = w->key;
	s->node.id = ENTRY_NODE;
	s->node.data_centre = (char *)"a";
	s->node.roles = ROLE_ENTRY;
	s->listen.peers = (char *)"127.0.0.1:0";
	s->listen.metrics = (char *)"";
	s->cluster.name = (char *)"follow";
	s->cluster.peers = g_ptr_array_new_with_free_func(g_free);
	s->limits.config_lease_ms = LEASE_MS;
	for (uint32_t i = 1; i <= CONTROL_NODES; i++)
		start_node(w, i);
	start_entry(w);
}

static void world_clear(struct world *w)
{
	control_destroy(w->control);
	for (uint32_t i = 0; i < CONTROL_NODES; i++) {
		rpc_server_destroy(w->nodes[i].server);
		g_free(w->nodes[i].address);
	}
	g_ptr_array_unref(w->settings.cluster.peers);
	g_bytes_unref(w->key);
	counters_destroy(w->counters);
	task_destroy(w->task);
}

static void test_reply_to_an_abandoned_poll_does_not_lengthen_lease(
	void **state)
{
	struct timeval watchdog = { WATCHDOG_S, 0 };
	struct world w;

	(void)state;
	world_init(&w);
	event_base_loopexit(task_base(w.task), &watchdog);
	event_base_dispatch(task_base(w.task));
	assert_true(w.updated);
	assert_int_equal(w.held_sent_ms + LEASE_MS, w.lease_until_ms);
	world_clear(&w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_reply_to_an_abandoned_poll_does_not_lengthen_lease),
	};

	log_setup((GLogLevelFlags)0, LOG_FORMAT_KEY_VALUE);
	return cmocka_run_group_tests_name("follow", tests, NULL, NULL);
}
