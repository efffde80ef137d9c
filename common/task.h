/**
 * @file
 * Task: a thread with an event loop that owns its sockets and state.
 *
 * Tasks communicate by posting messages. A message is a function with its
 * argument; messages run on the receiver's thread in posting order. Any thread
 * may call task_post() and task_stop(). The thread that creates a task also
 * starts, joins and destroys it.
 */
#ifndef COMMON_TASK_H
#define COMMON_TASK_H

#include <event2/event.h>

struct task;

/** Function of a message; takes ownership of `arg`. */
typedef void (*task_fn)(void *arg);

/**
 * Creates a task with its event base, without starting its thread. Returns NULL
 * on failure.
 */
struct task *task_create(const char *name);

/**
 * Starts the thread, which runs `init` (may be NULL) before the event loop.
 * Returns 0, or -1 on failure.
 */
int task_start(struct task *task, task_fn init, void *arg);

/** Queues fn(arg) to run on the task's thread and wakes it. */
void task_post(struct task *task, task_fn fn, void *arg);

/**
 * Ends the event loop once the messages posted so far have run, and responses
 * to requests that were read are sent, as far as their callers read them.
 */
void task_stop(struct task *task);

/** Waits for the thread to end. NULL is allowed. */
void task_join(struct task *task);

/**
 * Joins and frees a task. Messages left in its mailbox are dropped without
 * freeing their arguments. NULL is allowed.
 */
void task_destroy(struct task *task);

/**
 * Returns the event base, for use on the task's thread, or by its creator
 * before the thread is started.
 */
struct event_base *task_base(struct task *task);

#endif
