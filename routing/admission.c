#include <string.h>

#include <radishdeal/admission.h>

/* The pace of service is measured over windows of this length. */
#define PACE_WINDOW_MS 500
#define PACE_SMOOTHING 0.3
#define RETRY_MIN_MS 250

struct admission_account {
	char *name;
	uint32_t weight;
	uint32_t priority;
	uint32_t limit;
	uint32_t serving;
	GQueue queue;	/* of struct admission_ticket that can be in time */
	GQueue overdue; /* of those that no longer can */
	double queued_cost;
	double finish; /* virtual time its last ticket ends at */
};

struct admission {
	GPtrArray *accounts; /* of struct admission_account */
	GHashTable *by_name;
	double virtual_time;
	uint32_t waiting, serving;
	double pace; /* cost per ms, smoothed; 0 while unknown */
	double window_cost;
	int64_t window_ms; /* start of the window; 0 without one */
	bool window_busy;  /* somebody waited throughout the window */
};

static void account_free(gpointer data)
{
	struct admission_account *account = data;

	g_free(account->name);
	g_free(account);
}

struct admission *admission_create(void)
{
	struct admission *a = g_new0(struct admission, 1);

	a->accounts = g_ptr_array_new_with_free_func(account_free);
	a->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	return a;
}

void admission_destroy(struct admission *a)
{
	if (!a)
		return;
	g_hash_table_unref(a->by_name);
	g_ptr_array_unref(a->accounts);
	g_free(a);
}

static struct admission_account *get_account(struct admission *a,
					     const char *name)
{
	struct admission_account *account = g_hash_table_lookup(a->by_name,
								name);

	if (account)
		return account;
	account = g_new0(struct admission_account, 1);
	account->name = g_strdup(name);
	account->weight = 1;
	g_queue_init(&account->queue);
	g_queue_init(&account->overdue);
	g_ptr_array_add(a->accounts, account);
	g_hash_table_insert(a->by_name, account->name, account);
	return account;
}

void admission_put_account(struct admission *a, const char *name,
			   uint32_t weight, uint32_t priority, uint32_t limit)
{
	struct admission_account *account = get_account(a, name);

	account->weight = MAX(weight, 1);
	account->priority = priority;
	account->limit = limit;
}

static const GQueue *queue_of(const struct admission_account *account,
			      bool overdue)
{
	return overdue ? &account->overdue : &account->queue;
}

static bool may_go(const struct admission_account *account, bool overdue)
{
	return queue_of(account, overdue)->length &&
	       (!account->limit || account->serving < account->limit);
}

/* ---- pace and refusal ---- */

static void end_window(struct admission *a, int64_t now_ms)
{
	int64_t length = now_ms - a->window_ms;

	/* Only a busy window shows what the service can do. */
	if (a->window_busy && a->window_cost > 0) {
		double measured = a->window_cost / (double)length;

		a->pace = a->pace ? a->pace + PACE_SMOOTHING *
						      (measured - a->pace)
				  : measured;
	}
	a->window_cost = 0;
	a->window_ms = now_ms;
	a->window_busy = a->waiting > 0;
}

static void note_time(struct admission *a, int64_t now_ms)
{
	if (!a->window_ms)
		a->window_ms = now_ms;
	if (now_ms - a->window_ms >= PACE_WINDOW_MS)
		end_window(a, now_ms);
}

/* The time until a new ticket of an account would be served. */
static double expected_wait_ms(const struct admission *a,
			       const struct admission_account *account)
{
	double ahead = 0, weights = account->weight;

	if (a->pace <= 0 || !a->waiting)
		return 0;
	for (guint i = 0; i < a->accounts->len; i++) {
		const struct admission_account *other = a->accounts->pdata[i];

		if (other == account || !other->queue.length)
			continue;
		if (other->priority < account->priority)
			ahead += other->queued_cost;
		else if (other->priority == account->priority)
			weights += other->weight;
	}
	/* Its share of the pace, but never slower than everything ahead. */
	return MIN(ahead / a->pace + account->queued_cost * weights /
					     account->weight / a->pace,
		   (ahead + account->queued_cost) / a->pace +
			   account->queued_cost * (weights - account->weight) /
				   account->weight / a->pace);
}

enum rd_result admission_enqueue(struct admission *a, int64_t now_ms,
				 struct admission_ticket *ticket,
				 const char *name, double cost,
				 int64_t deadline_ms, int64_t *retry_ms)
{
	struct admission_account *account = get_account(a, name);
	double wait_ms;

	note_time(a, now_ms);
	wait_ms = expected_wait_ms(a, account);
	if ((double)now_ms + wait_ms > (double)deadline_ms) {
		*retry_ms = MAX(
			RETRY_MIN_MS,
			(int64_t)(wait_ms - (double)(deadline_ms - now_ms)));
		return RD_OVERLOADED;
	}
	ticket->account = account;
	ticket->cost = cost;
	ticket->enqueued_ms = now_ms;
	ticket->deadline_ms = deadline_ms;
	ticket->virtual_start = MAX(a->virtual_time, account->finish);
	account->finish = ticket->virtual_start + cost / account->weight;
	account->queued_cost += cost;
	ticket->overdue = false;
	ticket->link = (GList){ .data = ticket };
	g_queue_push_tail_link(&account->queue, &ticket->link);
	ticket->waiting = true;
	a->waiting++;
	return RD_OK;
}

/* ---- turns ---- */

static bool goes_before(const struct admission_account *x,
			const struct admission_account *y, bool overdue)
{
	const struct admission_ticket *tx = queue_of(x, overdue)->head->data;
	const struct admission_ticket *ty = queue_of(y, overdue)->head->data;

	if (x->priority != y->priority)
		return x->priority < y->priority;
	return tx->virtual_start < ty->virtual_start;
}

/* Tickets are in the order in which they came, so late ones stand first. */
static void stand_back(struct admission_account *account, int64_t now_ms)
{
	while (account->queue.length) {
		struct admission_ticket *ticket = account->queue.head->data;

		if (!ticket->objective_deadline_ms ||
		    now_ms <= ticket->objective_deadline_ms)
			return;
		g_queue_unlink(&account->queue, &ticket->link);
		g_queue_push_tail_link(&account->overdue, &ticket->link);
		/* Those that come now need not wait for it. */
		account->queued_cost -= ticket->cost;
		ticket->overdue = true;
	}
}

static struct admission_account *first_account(const struct admission *a,
					       bool overdue)
{
	struct admission_account *best = NULL;

	for (guint i = 0; i < a->accounts->len; i++) {
		struct admission_account *account = a->accounts->pdata[i];

		if (may_go(account, overdue) &&
		    (!best || goes_before(account, best, overdue)))
			best = account;
	}
	return best;
}

struct admission_ticket *admission_peek(struct admission *a, int64_t now_ms)
{
	struct admission_account *account;

	for (guint i = 0; i < a->accounts->len; i++)
		stand_back(a->accounts->pdata[i], now_ms);
	account = first_account(a, false);
	if (account)
		return account->queue.head->data;
	account = first_account(a, true);
	return account ? account->overdue.head->data : NULL;
}

static void unlink_ticket(struct admission *a, struct admission_ticket *ticket)
{
	g_queue_unlink(ticket->overdue ? &ticket->account->overdue
				       : &ticket->account->queue,
		       &ticket->link);
	if (!ticket->overdue)
		ticket->account->queued_cost -= ticket->cost;
	ticket->waiting = false;
	a->waiting--;
	if (!a->waiting)
		a->window_busy = false;
}

void admission_dequeue(struct admission *a, struct admission_ticket *ticket)
{
	unlink_ticket(a, ticket);
	a->virtual_time = MAX(a->virtual_time, ticket->virtual_start);
	ticket->account->serving++;
	a->serving++;
}

void admission_cancel(struct admission *a, struct admission_ticket *ticket)
{
	if (!ticket->waiting)
		return;
	/* Its turn is not held against the account. */
	ticket->account->finish -= ticket->cost / ticket->account->weight;
	unlink_ticket(a, ticket);
}

void admission_finish(struct admission *a, int64_t now_ms,
		      struct admission_ticket *ticket, double cost)
{
	struct admission_account *account = ticket->account;

	account->serving--;
	a->serving--;
	/* What was estimated is set right by what it was. */
	account->finish += (cost - ticket->cost) / account->weight;
	a->window_cost += cost;
	note_time(a, now_ms);
}

static struct admission_ticket *find_expired(const GQueue *queue,
					     int64_t now_ms)
{
	for (GList *l = queue->head; l; l = l->next) {
		struct admission_ticket *ticket = l->data;

		if (now_ms >= ticket->deadline_ms)
			return ticket;
	}
	return NULL;
}

struct admission_ticket *admission_pop_expired(struct admission *a,
					       int64_t now_ms)
{
	for (guint i = 0; i < a->accounts->len; i++) {
		struct admission_account *account = a->accounts->pdata[i];
		struct admission_ticket *ticket =
			find_expired(&account->overdue, now_ms);

		if (!ticket)
			ticket = find_expired(&account->queue, now_ms);
		if (!ticket)
			continue;
		admission_cancel(a, ticket);
		return ticket;
	}
	return NULL;
}

uint32_t admission_waiting(const struct admission *a)
{
	return a->waiting;
}

uint32_t admission_serving(const struct admission *a)
{
	return a->serving;
}

uint32_t admission_outstanding(const struct admission *a, const char *name)
{
	const struct admission_account *account =
		g_hash_table_lookup(a->by_name, name);

	return account ? account->serving + account->queue.length +
				 account->overdue.length
		       : 0;
}
