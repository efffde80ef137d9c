#include <pthread.h>
#include <stdbool.h>

#include <event2/thread.h>
#include <glib.h>

#include "common/http.h"
#include "common/task.h"

/* Time at the end of a task for the last responses to reach their sockets. */
#define RESPONSES_SENT_MS 100

struct message {
	task_fn fn;
	void *arg;
};

struct task {
	char *name;
	struct event_base *base;
	struct event *wakeup;
	GAsyncQueue *mailbox;
	pthread_t thread;
	bool started;
	struct message init;
};

static void run_mailbox(evutil_socket_t fd, short what, void *arg)
{
	struct task *task = arg;
	struct message *m;

	(void)fd;
	(void)what;
	while ((m = g_async_queue_try_pop(task->mailbox))) {
		m->fn(m->arg);
		g_free(m);
	}
}

static void *thread_main(void *arg)
{
	struct task *task = arg;

	if (task->init.fn)
		task->init.fn(task->init.arg);
	event_base_loop(task->base, EVLOOP_NO_EXIT_ON_EMPTY);
	return NULL;
}

static void end_loop(void *arg)
{
	http_end_loop(arg, RESPONSES_SENT_MS);
}

struct task *task_create(const char *name)
{
	static gsize threads_ready;
	struct task *task;

	if (g_once_init_enter(&threads_ready)) {
		evthread_use_pthreads();
		g_once_init_leave(&threads_ready, 1);
	}
	task = g_new0(struct task, 1);
	task->name = g_strdup(name);
	task->base = event_base_new();
	if (!task->base)
		goto fail;
	task->mailbox = g_async_queue_new();
	task->wakeup = event_new(task->base, -1, EV_PERSIST, run_mailbox, task);
	if (!task->wakeup)
		goto fail;
	return task;
fail:
	task_destroy(task);
	return NULL;
}

int task_start(struct task *task, task_fn init, void *arg)
{
	task->init = (struct message){ init, arg };
	if (pthread_create(&task->thread, NULL, thread_main, task))
		return -1;
	pthread_setname_np(task->thread, task->name);
	task->started = true;
	return 0;
}

void task_post(struct task *task, task_fn fn, void *arg)
{
	struct message *m = g_new(struct message, 1);

	m->fn = fn;
	m->arg = arg;
	g_async_queue_push(task->mailbox, m);
	event_active(task->wakeup, EV_READ, 0);
}

void task_stop(struct task *task)
{
	task_post(task, end_loop, task->base);
}

void task_join(struct task *task)
{
	if (task && task->started)
		pthread_join(task->thread, NULL);
	if (task)
		task->started = false;
}

static void drop_mailbox(struct task *task)
{
	gpointer m;

	while ((m = g_async_queue_try_pop(task->mailbox)))
		g_free(m);
	g_async_queue_unref(task->mailbox);
}

void task_destroy(struct task *task)
{
	if (!task)
		return;
	task_join(task);
	if (task->mailbox)
		drop_mailbox(task);
	if (task->wakeup)
		event_free(task->wakeup);
	if (task->base)
		event_base_free(task->base);
	g_free(task->name);
	g_free(task);
}

struct event_base *task_base(struct task *task)
{
	return task->base;
}
