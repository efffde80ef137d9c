#include "consensus/log.h"
#include "wire/codec.h"

static void entry_free(gpointer data)
{
	struct raft_entry *entry = data;

	g_bytes_unref(entry->data);
	g_free(entry);
}

static void config_free(gpointer data)
{
	struct log_config *config = data;

	CODEC_FREE(member_config, &config->config);
	g_free(config);
}

static void add_config(struct raft_log *log, uint64_t index,
		       const struct member_config *config)
{
	struct log_config *added = g_new0(struct log_config, 1);

	added->index = index;
	if (!CODEC_COPY(member_config, config, &added->config))
		g_assert_not_reached();
	g_ptr_array_add(log->configs, added);
}

void log_init(struct raft_log *log, uint64_t base, uint64_t base_term,
	      const struct member_config *config)
{
	log->base = base;
	log->base_term = base_term;
	log->entries = g_ptr_array_new_with_free_func(entry_free);
	log->configs = g_ptr_array_new_with_free_func(config_free);
	add_config(log, base, config);
}

void log_clear(struct raft_log *log)
{
	g_ptr_array_unref(log->entries);
	g_ptr_array_unref(log->configs);
}

uint64_t log_last(const struct raft_log *log)
{
	return log->base + log->entries->len;
}

struct raft_entry *log_get(const struct raft_log *log, uint64_t index)
{
	if (index <= log->base || index > log_last(log))
		return NULL;
	return log->entries->pdata[index - log->base - 1];
}

uint64_t log_term(const struct raft_log *log, uint64_t index)
{
	const struct raft_entry *entry = log_get(log, index);

	if (entry)
		return entry->term;
	return index == log->base ? log->base_term : 0;
}

struct raft_entry *log_append(struct raft_log *log, uint64_t term,
			      raft_entry_kind kind, GBytes *data)
{
	struct raft_entry *entry = g_new0(struct raft_entry, 1);
	struct member_config config = { { 0 } };

	entry->index = log_last(log) + 1;
	entry->term = term;
	entry->kind = kind;
	entry->data = g_bytes_ref(data);
	g_ptr_array_add(log->entries, entry);
	if (kind == RAFT_ENTRY_CONFIG &&
	    CODEC_DECODE(member_config, data, &config)) {
		add_config(log, entry->index, &config);
		CODEC_FREE(member_config, &config);
	}
	return entry;
}

void log_truncate(struct raft_log *log, uint64_t from)
{
	g_assert(from > log->base);
	while (log->configs->len > 1) {
		struct log_config *last =
			log->configs->pdata[log->configs->len - 1];

		if (last->index < from)
			break;
		g_ptr_array_remove_index(log->configs, log->configs->len - 1);
	}
	if (from <= log_last(log))
		g_ptr_array_set_size(log->entries,
				     (gint)(from - log->base - 1));
}

void log_compact(struct raft_log *log, uint64_t up_to)
{
	if (up_to <= log->base)
		return;
	g_assert(up_to <= log_last(log));
	log->base_term = log_term(log, up_to);
	g_ptr_array_remove_range(log->entries, 0, (guint)(up_to - log->base));
	log->base = up_to;
	while (log->configs->len > 1) {
		struct log_config *second = log->configs->pdata[1];

		if (second->index > up_to)
			break;
		g_ptr_array_remove_index(log->configs, 0);
	}
}

void log_reset(struct raft_log *log, uint64_t base, uint64_t base_term,
	       const struct member_config *config)
{
	g_ptr_array_set_size(log->entries, 0);
	g_ptr_array_set_size(log->configs, 0);
	log->base = base;
	log->base_term = base_term;
	add_config(log, base, config);
}

const struct log_config *log_config_at(const struct raft_log *log,
				       uint64_t index)
{
	for (guint i = log->configs->len; i > 1; i--) {
		struct log_config *config = log->configs->pdata[i - 1];

		if (config->index <= index)
			return config;
	}
	return log->configs->pdata[0];
}

uint64_t log_first_index_of_term(const struct raft_log *log, uint64_t index)
{
	uint64_t term = log_term(log, index);

	while (index > log->base + 1 && log_term(log, index - 1) == term)
		index--;
	return index;
}
