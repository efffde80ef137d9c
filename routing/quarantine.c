#include <radishdeal/quarantine.h>

struct quarantine {
	struct quarantine_opts opts;
};

struct quarantine *quarantine_create(const struct quarantine_opts *opts)
{
	struct quarantine *q = g_new0(struct quarantine, 1);

	q->opts = *opts;
	return q;
}

void quarantine_destroy(struct quarantine *q)
{
	g_free(q);
}

void quarantine_set_entries(struct quarantine *q, const uint32_t *nodes,
			    uint32_t count)
{
	(void)q, (void)nodes, (void)count;
}

void quarantine_add_success(struct quarantine *q, int64_t now_ms,
			    const uint64_t *parts, uint32_t count)
{
	(void)q, (void)now_ms, (void)parts, (void)count;
}

void quarantine_add_end(struct quarantine *q, int64_t now_ms, uint32_t replica,
			uint64_t epoch, const uint64_t *parts, uint32_t count)
{
	(void)q, (void)now_ms, (void)replica, (void)epoch, (void)parts,
		(void)count;
}

void quarantine_check(struct quarantine *q, int64_t now_ms,
		      const uint64_t *parts, uint32_t count,
		      struct quarantine_check *out)
{
	(void)q, (void)now_ms, (void)parts, (void)count;
	*out = (struct quarantine_check){ .verdict = QUARANTINE_CLEAR };
}

void quarantine_begin_trial(struct quarantine *q, int64_t now_ms, uint64_t part)
{
	(void)q, (void)now_ms, (void)part;
}

void quarantine_end_trial(struct quarantine *q, uint64_t part)
{
	(void)q, (void)part;
}

uint64_t quarantine_version(struct quarantine *q, int64_t now_ms)
{
	(void)q, (void)now_ms;
	return 0;
}

uint32_t quarantine_held(struct quarantine *q, int64_t now_ms)
{
	(void)q, (void)now_ms;
	return 0;
}

uint32_t quarantine_records(const struct quarantine *q)
{
	(void)q;
	return 0;
}

uint64_t quarantine_report(struct quarantine *q, int64_t now_ms, uint64_t since,
			   GArray *records)
{
	(void)q, (void)now_ms, (void)records;
	return since;
}

void quarantine_merge(struct quarantine *q, int64_t now_ms,
		      const struct part_record *records, uint32_t count)
{
	(void)q, (void)now_ms, (void)records, (void)count;
}
