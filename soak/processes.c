/* The daemons: start, signals, and their end. */
#include <signal.h>
#include <unistd.h>

#include <sys/socket.h>
#include <sys/wait.h>

#include "common/address.h"
#include "soak/soak.h"

/* In touch again so long after a start or a signal. */
#define TOUCH_US 3000000
#define PROBE_TIMEOUT_US 100000

static void set_current(struct soak *soak, int node, struct process *p)
{
	g_mutex_lock(&soak->lock);
	soak->current[node] = p;
	g_mutex_unlock(&soak->lock);
}

void processes_add(struct soak *soak, int node)
{
	struct process *p = g_new0(struct process, 1);

	p->node = node;
	p->start = soak->cluster->nodes[node - 1].starts;
	p->started_us = soak_now_us();
	g_ptr_array_add(soak->processes, p);
	set_current(soak, node, p);
}

void processes_signal(struct soak *soak, int node, int number)
{
	struct process *p = soak->current[node];
	struct sent_signal *s;

	if (!p || p->signal_count == SOAK_SIGNALS_MAX)
		return;
	s = &p->signals[p->signal_count++];
	s->number = number;
	s->at_us = soak_now_us();
	cluster_signal_node(soak->cluster, node, number);
}

bool process_in_touch(const struct process *p, int64_t at_us)
{
	if (at_us < p->started_us + TOUCH_US)
		return false;
	for (int i = 0; i < p->signal_count; i++)
		if (at_us >= p->signals[i].at_us &&
		    at_us < p->signals[i].at_us + TOUCH_US)
			return false;
	return true;
}

int64_t process_stop_us(const struct process *p)
{
	for (int i = 0; i < p->signal_count; i++)
		if (p->signals[i].number != SIGHUP)
			return p->signals[i].at_us;
	return 0;
}

static void enforce_grace_period(struct soak *soak, struct process *p)
{
	int64_t stop_us = process_stop_us(p);

	if (!stop_us || p->killed ||
	    soak_now_us() - stop_us < SOAK_GRACE_MS * 1000)
		return;
	p->killed = true;
	kill(soak->cluster->nodes[p->node - 1].pid, SIGKILL);
}

static bool accepts_callers(const struct cluster_node *node)
{
	struct timeval timeout = { 0, PROBE_TIMEOUT_US };
	struct address address;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool accepted;

	(void)address_parse(node->callers, &address);
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
	accepted = !connect(fd, (struct sockaddr *)&address.socket,
			    sizeof(address.socket));
	close(fd);
	return accepted;
}

static void poll_process(struct soak *soak, struct process *p)
{
	struct cluster_node *node = &soak->cluster->nodes[p->node - 1];

	if (waitpid(node->pid, &p->wait_status, WNOHANG) != node->pid) {
		p->up = p->up || accepts_callers(node);
		enforce_grace_period(soak, p);
		return;
	}
	p->exited_us = soak_now_us();
	node->pid = 0;
	set_current(soak, p->node, NULL);
}

void processes_poll(struct soak *soak)
{
	for (int node = 1; node <= soak->opts.rig->nodes; node++)
		if (soak->current[node])
			poll_process(soak, soak->current[node]);
}

int processes_running(const struct soak *soak)
{
	int n = 0;

	for (int node = 1; node <= soak->opts.rig->nodes; node++)
		n += soak->current[node] != NULL;
	return n;
}
