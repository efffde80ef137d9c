/**
 * @file
 * A task: a thread with an event loop that owns its sockets and state.
 *
 * Tasks talk by posting messages. A message is a function and its argument;
 * it runs on the receiver's thread in posting order. task_post() and
 * task_stop() may be called from any thread; everything else belongs to the
 * task's own thread.
 */
#ifndef COMMON_TASK_H
#define COMMON_TASK_H

#include <event2/event.h>

struct task;

/** A message's handler; owns `arg`. */
typedef void (*task_fn)(void *arg);

/** Creates a task and its event base; no thread runs yet. NULL on failure. */
struct task *task_create(const char *name);

/** Starts the thread. `init` runs on it first; may be NULL. */
int task_start(struct task *task, task_fn init, void *arg);

/** Queues fn(arg) to run on the task's thread and wakes it. */
void task_post(struct task *task, task_fn fn, void *arg);

/** Asks the loop to end once the messages posted so far have run. */
void task_stop(struct task *task);

/** Waits for the thread to end. NULL is allowed. */
void task_join(struct task *task);

/** Frees a joined task and drops its messages. NULL is allowed. */
void task_destroy(struct task *task);

/** Returns the event base; for use on the task's thread. */
struct event_base *task_base(struct task *task);

#endif
