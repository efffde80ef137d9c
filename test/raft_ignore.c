#include "test/raft_ignore.h"

static void ignore_send(void *ctx, const struct raft_message *message,
			bool after_sync)
{
	(void)ctx;
	(void)message;
	(void)after_sync;
}

static void ignore_hard_state(void *ctx, uint64_t term, uint64_t vote)
{
	(void)ctx;
	(void)term;
	(void)vote;
}

static void ignore_append(void *ctx, const struct raft_entry *entry)
{
	(void)ctx;
	(void)entry;
}

static void ignore_truncate(void *ctx, uint64_t from)
{
	(void)ctx;
	(void)from;
}

static void ignore_install(void *ctx, uint64_t index, uint64_t term,
			   const struct member_config *config, GBytes *data)
{
	(void)ctx;
	(void)index;
	(void)term;
	(void)config;
	(void)data;
}

static void ignore_role(void *ctx, enum raft_role role, uint64_t term,
			uint64_t leader)
{
	(void)ctx;
	(void)role;
	(void)term;
	(void)leader;
}

struct raft_callbacks raft_ignore(void *ctx)
{
	return (struct raft_callbacks){
		.send = ignore_send,
		.save_hard_state = ignore_hard_state,
		.append = ignore_append,
		.truncate = ignore_truncate,
		.install_snapshot = ignore_install,
		.role_changed = ignore_role,
		.ctx = ctx,
	};
}
