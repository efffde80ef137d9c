#include <glib.h>

#include <radishdeal/links.h>

/* A silence of all endpoints that is always usual. */
#define USUAL_MS 150
#define USUAL_MAX_MS 1000
/* Silences this many times as long as the usual one are doubtful. */
#define DOUBT_FACTOR 2
/* Silences this many times as long show that no endpoint answers. */
#define DOWN_FACTOR 4
#define DOWN_SILENCE_MIN_MS 1000
/* Part by which the usual silence falls with each shorter one. */
#define USUAL_DECAY 0.01
/* So many endpoints, or all if there are fewer, have to be silent or fail. */
#define DOUBT_ENDPOINTS 2u
#define DOWN_ENDPOINTS 3u
/* Others would answer in this time, if so many failed for another reason. */
#define UNANSWERED_MS 100
#define PROBE_INTERVAL_MS 1000
#define DOWN_PROBE_INTERVAL_MS 400
/* A trial without an answer has failed after so long. */
#define TRIAL_MS 1000
#define TRIAL_PAUSE_MS 1000
/* Without a request to try, probes that succeed are enough after so long. */
#define TRIED_MS 2000

/** What is known of the entry's connections to one endpoint. */
struct link {
	uint32_t open;	   /* requests */
	int64_t silent_ms; /* since when, while there are any */
	bool failed;	   /* since an endpoint was reached anew */
	int64_t failed_ms; /* last failure; 0: none since it answered */
};

struct links {
	enum links_state state;
	GHashTable *links;   /* endpoint -> struct link */
	uint32_t waiting;    /* links with open requests */
	uint32_t failed;     /* links that have failed */
	int64_t answered_ms; /* when the last response began */
	int64_t silent_ms;   /* of all: since when, while any waits */
	double usual_ms;
	bool probing;
	int64_t probed_ms; /* begin of the last round */
	int64_t state_ms;  /* when the state was entered */
	uint64_t trial;	   /* endpoint that has the trial; 0: none */
	int64_t trial_ms;  /* when it was sent */
};

struct links *links_create(int64_t now_ms)
{
	struct links *links = g_new0(struct links, 1);

	links->links = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, g_free);
	links->usual_ms = USUAL_MS;
	links->state_ms = now_ms;
	links->probed_ms = now_ms - PROBE_INTERVAL_MS;
	return links;
}

void links_destroy(struct links *links)
{
	if (!links)
		return;
	g_hash_table_unref(links->links);
	g_free(links);
}

static struct link *find(const struct links *links, uint64_t endpoint)
{
	return g_hash_table_lookup(links->links, &endpoint);
}

static struct link *find_or_add(struct links *links, uint64_t endpoint)
{
	struct link *link = find(links, endpoint);

	if (link)
		return link;
	link = g_new0(struct link, 1);
	g_hash_table_insert(links->links,
			    g_memdup2(&endpoint, sizeof(endpoint)), link);
	return link;
}

static gboolean is_unused(gpointer key, gpointer value, gpointer ctx)
{
	const struct link *link = value;

	(void)key;
	(void)ctx;
	return !link->open && !link->failed && !link->failed_ms;
}

static void forget_failures(struct links *links)
{
	GHashTableIter iter;
	gpointer value;

	links->failed = 0;
	g_hash_table_iter_init(&iter, links->links);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct link *)value)->failed = false;
	g_hash_table_foreach_remove(links->links, is_unused, NULL);
}

static void forget_all_failures(struct links *links)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, links->links);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct link *)value)->failed_ms = 0;
	forget_failures(links);
}

static void enter(struct links *links, int64_t now_ms, enum links_state state)
{
	links->state = state;
	links->state_ms = now_ms;
	links->trial = 0;
	links->probed_ms = now_ms - PROBE_INTERVAL_MS;
	forget_all_failures(links);
	/* What is silent was so for a reason that is known now. */
	links_paused(links, now_ms);
}

/* A trial is a caller's request, so the next one isn't sent at once. */
static void fail_trial(struct links *links, int64_t now_ms)
{
	enter(links, now_ms, LINKS_DOWN);
	links->probed_ms = now_ms + TRIAL_PAUSE_MS - DOWN_PROBE_INTERVAL_MS;
}

/* ---- evidence ---- */

void links_sent(struct links *links, int64_t now_ms, uint64_t endpoint)
{
	struct link *link = find_or_add(links, endpoint);

	if (!links->waiting)
		links->silent_ms = now_ms;
	if (!link->open) {
		links->waiting++;
		link->silent_ms = now_ms;
	}
	link->open++;
	if (links->state == LINKS_TRIED && !links->trial) {
		links->trial = endpoint;
		links->trial_ms = now_ms;
	}
}

static void note_silence(struct links *links, int64_t silent_ms)
{
	double ms = (double)silent_ms;

	if (ms > links->usual_ms)
		links->usual_ms = ms;
	else
		links->usual_ms += USUAL_DECAY * (ms - links->usual_ms);
	links->usual_ms = CLAMP(links->usual_ms, USUAL_MS, USUAL_MAX_MS);
}

void links_heard(struct links *links, int64_t now_ms, uint64_t endpoint)
{
	struct link *link = find(links, endpoint);

	if (link)
		link->silent_ms = now_ms;
	/* One that ends the loss of all links is not usual. */
	if (links->waiting && links->state == LINKS_UP && !links->probing)
		note_silence(links, now_ms - links->silent_ms);
	links->silent_ms = now_ms;
}

void links_answered(struct links *links, int64_t now_ms, uint64_t endpoint,
		    bool fresh)
{
	struct link *link = find(links, endpoint);

	links_heard(links, now_ms, endpoint);
	links->answered_ms = now_ms;
	if (link)
		link->failed_ms = 0;
	if (fresh && links->failed)
		forget_failures(links);
	if (links->state == LINKS_TRIED && endpoint == links->trial)
		enter(links, now_ms, LINKS_UP);
}

void links_failed(struct links *links, int64_t now_ms, uint64_t endpoint)
{
	struct link *link = find_or_add(links, endpoint);

	links->failed += link->failed ? 0 : 1;
	link->failed = true;
	link->failed_ms = now_ms;
	if (links->state == LINKS_TRIED && endpoint == links->trial)
		fail_trial(links, now_ms);
}

void links_ended(struct links *links, uint64_t endpoint)
{
	struct link *link = find(links, endpoint);

	if (!link || !link->open)
		return;
	link->open--;
	if (link->open)
		return;
	links->waiting--;
	/* Its caller has left, or it was moved: another one may try. */
	if (links->state == LINKS_TRIED && endpoint == links->trial)
		links->trial = 0;
	if (is_unused(NULL, link, NULL))
		g_hash_table_remove(links->links, &endpoint);
}

void links_paused(struct links *links, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	links->silent_ms = now_ms;
	links->trial_ms = now_ms;
	g_hash_table_iter_init(&iter, links->links);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct link *)value)->silent_ms = now_ms;
}

static uint32_t count_silent(const struct links *links, int64_t now_ms,
			     int64_t for_ms)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t silent = 0;

	g_hash_table_iter_init(&iter, links->links);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct link *link = value;

		silent += link->open && now_ms - link->silent_ms >= for_ms;
	}
	return silent;
}

static int64_t silent_for_ms(const struct links *links, int64_t now_ms)
{
	return links->waiting ? now_ms - links->silent_ms : 0;
}

static int64_t doubtful_ms(const struct links *links)
{
	return (int64_t)(DOUBT_FACTOR * links->usual_ms);
}

void links_get_evidence(const struct links *links, int64_t now_ms,
			struct links_evidence *out)
{
	*out = (struct links_evidence){
		.silent_ms = silent_for_ms(links, now_ms),
		.usual_ms = (int64_t)links->usual_ms,
		.waiting = links->waiting,
		.silent = count_silent(links, now_ms, doubtful_ms(links)),
		.failed = links->failed,
	};
}

/* ---- decisions ---- */

static bool has_reason(const struct links *links, int64_t now_ms)
{
	return links->failed >= DOUBT_ENDPOINTS ||
	       silent_for_ms(links, now_ms) >= doubtful_ms(links);
}

bool links_probe_due(struct links *links, int64_t now_ms, uint32_t usable)
{
	int64_t interval_ms = links->state == LINKS_DOWN
				      ? DOWN_PROBE_INTERVAL_MS
				      : PROBE_INTERVAL_MS;

	if (links->probing || !usable || links->state == LINKS_TRIED ||
	    now_ms - links->probed_ms < interval_ms ||
	    (links->state == LINKS_UP && !has_reason(links, now_ms)))
		return false;
	links->probing = true;
	links->probed_ms = now_ms;
	return true;
}

void links_probed(struct links *links, int64_t now_ms, uint32_t probes,
		  uint32_t reached)
{
	links->probing = false;
	if (links->state == LINKS_UP && probes && !reached)
		enter(links, now_ms, LINKS_DOWN);
	else if (links->state == LINKS_UP && reached)
		forget_failures(links);
	else if (links->state == LINKS_DOWN && 2 * reached > probes)
		enter(links, now_ms, LINKS_TRIED);
}

/* Connections are accepted, but no endpoint answers. */
static bool all_are_silent(const struct links *links, int64_t now_ms,
			   uint32_t usable)
{
	int64_t limit_ms = MAX(DOWN_SILENCE_MIN_MS,
			       (int64_t)(DOWN_FACTOR * links->usual_ms));

	return silent_for_ms(links, now_ms) >= limit_ms &&
	       count_silent(links, now_ms, limit_ms) >=
		       MIN(DOWN_ENDPOINTS, MAX(usable, 1));
}

/* Counts the links that failed up to a time, and none has answered since. */
static uint32_t count_unanswered(const struct links *links, int64_t until_ms)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t unanswered = 0;

	g_hash_table_iter_init(&iter, links->links);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct link *link = value;

		unanswered += link->failed_ms >= links->answered_ms &&
			      link->failed_ms && link->failed_ms <= until_ms;
	}
	return unanswered;
}

/*
 * Connections are accepted, but requests break them. Streams that began before
 * may go on.
 */
static bool most_fail(const struct links *links, int64_t now_ms,
		      uint32_t usable)
{
	uint32_t enough = MIN(MAX(DOWN_ENDPOINTS, usable / 2),
			      MAX(DOUBT_ENDPOINTS, usable));

	return count_unanswered(links, now_ms - UNANSWERED_MS) >= enough;
}

void links_tick(struct links *links, int64_t now_ms, uint32_t usable)
{
	if (links->state != LINKS_UP && !usable)
		enter(links, now_ms, LINKS_UP);
	else if (links->state == LINKS_UP &&
		 (all_are_silent(links, now_ms, usable) ||
		  most_fail(links, now_ms, usable)))
		enter(links, now_ms, LINKS_DOWN);
	else if (links->state == LINKS_TRIED && links->trial &&
		 now_ms - links->trial_ms >= TRIAL_MS)
		fail_trial(links, now_ms);
	else if (links->state == LINKS_TRIED && !links->trial &&
		 now_ms - links->state_ms >= TRIED_MS)
		enter(links, now_ms, LINKS_UP);
}

enum links_state links_state(const struct links *links)
{
	return links->state;
}

bool links_in_doubt(const struct links *links, int64_t now_ms)
{
	return links->state == LINKS_UP &&
	       (links->probing || has_reason(links, now_ms));
}

bool links_allow(const struct links *links, bool repeatable)
{
	return links->state == LINKS_UP ||
	       (links->state == LINKS_TRIED && !links->trial && repeatable);
}

const char *links_state_name(enum links_state state)
{
	static const char *const names[] = {
		[LINKS_UP] = "up",
		[LINKS_DOWN] = "down",
		[LINKS_TRIED] = "tried",
	};

	return names[state];
}
