#define _GNU_SOURCE
#include "rv.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define PROGRAM "target/radishdeald"
#define REQUEST_MAX 65536
#define CONTROL_WAIT_MS 1000
#define GRACE_S 8.0
#define REPLICA_HOST_FIRST 100

static FILE *record;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct timespec started;
static char folder[64];
static char network[16]; /* first three parts of all addresses */
static int first_port;
static int entries;
static struct {
	pid_t pid;
	int starts;
	bool added_control;
} nodes[RV_NODES_MAX + 1];
static int replicas;
static unsigned seed;

/* ---- the run ---- */

static double seconds_since(const struct timespec *from)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (double)(now.tv_sec - from->tv_sec) +
	       (double)(now.tv_nsec - from->tv_nsec) / 1e9;
}

double rv_now(void)
{
	return seconds_since(&started);
}

void rv_sleep(double seconds)
{
	struct timespec left = { (time_t)seconds,
				 (long)((seconds - (double)(time_t)seconds) *
					1e9) };

	while (nanosleep(&left, &left) && errno == EINTR)
		;
}

double rv_random(void)
{
	double number;

	pthread_mutex_lock(&lock);
	number = (double)rand_r(&seed) / RAND_MAX;
	pthread_mutex_unlock(&lock);
	return number;
}

bool rv_trouble(void)
{
	const char *text = getenv("TROUBLE");

	return !text || strcmp(text, "0") != 0;
}

static void say(const char *fmt, va_list ap)
{
	pthread_mutex_lock(&lock);
	fprintf(record, "%9.3f  ", rv_now());
	vfprintf(record, fmt, ap);
	fputc('\n', record);
	fflush(record);
	pthread_mutex_unlock(&lock);
}

void rv_say(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	say(fmt, ap);
	va_end(ap);
}

/* Keeps the folder if KEEP is set, for the processes' logs. */
static void remove_folder(const char *path)
{
	DIR *dir = opendir(path);
	struct dirent *entry;
	char name[512];

	while (dir && (entry = readdir(dir))) {
		if (!strcmp(entry->d_name, ".") || !strcmp(entry->d_name, ".."))
			continue;
		snprintf(name, sizeof(name), "%s/%s", path, entry->d_name);
		if (unlink(name))
			remove_folder(name);
	}
	if (dir)
		closedir(dir);
	rmdir(path);
}

void rv_exit(int status)
{
	for (int i = 1; i <= RV_NODES_MAX; i++) {
		if (nodes[i].pid <= 0)
			continue;
		kill(nodes[i].pid, SIGKILL);
		waitpid(nodes[i].pid, NULL, 0);
	}
	if (!getenv("KEEP"))
		remove_folder(folder);
	else
		rv_say("the logs are in %s", folder);
	rv_say("exit status %d", status);
	_exit(status);
}

void rv_cannot(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	say(fmt, ap);
	va_end(ap);
	rv_exit(2);
}

static void *limit_time(void *seconds)
{
	rv_sleep(*(int *)seconds);
	rv_cannot("the run takes too long");
}

static int open_socket(const char *ip, int port, bool listening)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	inet_pton(AF_INET, ip, &address.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) ||
	    (listening && listen(fd, 512))) {
		close(fd);
		return -1;
	}
	return fd;
}

static bool ports_are_free(void)
{
	for (int node = 1; node <= RV_NODES_MAX; node++) {
		for (int i = 0; i < RV_PORTS; i++) {
			char ip[32];
			int fd;

			snprintf(ip, sizeof(ip), "%s.%d", network, node);
			fd = open_socket(ip, first_port + i, false);
			if (fd < 0)
				return false;
			close(fd);
		}
	}
	return true;
}

static void choose_ports(void)
{
	unsigned numbers = (unsigned)getpid() ^ (unsigned)time(NULL);

	for (int i = 0; i < 100; i++) {
		snprintf(network, sizeof(network), "127.%d.%d",
			 10 + rand_r(&numbers) % 240, rand_r(&numbers) % 256);
		first_port = 20000 + rand_r(&numbers) % 10000;
		if (ports_are_free())
			return;
	}
	rv_cannot("no free ports");
}

void rv_open(const char *path, int limit_s)
{
	static int limit;
	const char *tmp = getenv("TMPDIR");
	const char *text = getenv("SEED");
	pthread_t thread;

	clock_gettime(CLOCK_MONOTONIC, &started);
	signal(SIGPIPE, SIG_IGN);
	seed = text ? (unsigned)strtoul(text, NULL, 10)
		    : (unsigned)time(NULL) ^ (unsigned)getpid() << 8;
	record = fopen(path, "w");
	if (!record) {
		perror(path);
		exit(2);
	}
	snprintf(folder, sizeof(folder), "%s/review-XXXXXX",
		 tmp && strlen(tmp) < 40 ? tmp : "/tmp");
	if (!mkdtemp(folder))
		rv_cannot("no temporary folder: %s", strerror(errno));
	choose_ports();
	rv_say("trouble: %s, seed %u", rv_trouble() ? "yes" : "no", seed);
	limit = limit_s;
	pthread_create(&thread, NULL, limit_time, &limit);
}

/* ---- the project's processes ---- */

const char *rv_address(int node, enum rv_port port)
{
	static char texts[RV_NODES_MAX + 1][RV_PORTS][32];

	snprintf(texts[node][port], sizeof(texts[node][port]), "%s.%d:%d",
		 network, node, first_port + (int)port);
	return texts[node][port];
}

static char *read_file(const char *path)
{
	FILE *file = fopen(path, "r");
	char *text = calloc(1, 65536);

	if (!file)
		rv_cannot("%s: %s", path, strerror(errno));
	if (!fread(text, 1, 65535, file))
		rv_cannot("%s is empty", path);
	fclose(file);
	return text;
}

/* Replaces all occurrences of a text. */
static char *replace(char *text, const char *from, const char *to)
{
	char *at;

	while ((at = strstr(text, from))) {
		char *changed = calloc(1, strlen(text) + strlen(to) + 1);

		memcpy(changed, text, (size_t)(at - text));
		strcat(changed, to);
		strcat(changed, at + strlen(from));
		free(text);
		text = changed;
	}
	return text;
}

/* Removes what lies between two marks, and the marks. */
static char *cut_between(char *text, const char *from, const char *to)
{
	char *start, *end;

	while ((start = strstr(text, from)) && (end = strstr(start, to)))
		memmove(start, end + strlen(to), strlen(end + strlen(to)) + 1);
	return text;
}

static char *fill_in(char *text, const char *name, const char *value)
{
	char mark[64];

	snprintf(mark, sizeof(mark), "{{%s}}", name);
	return replace(text, mark, value);
}

static bool has_control(int node)
{
	return node <= RV_CONTROLS || nodes[node].added_control;
}

/* Fills in a template of the deploy file as the platform does. */
static void write_settings(int node, bool bootstrap, char *path, size_t size)
{
	bool control = has_control(node);
	char *text = read_file(control ? "deploy/control.toml.in"
				       : "deploy/entry.toml.in");
	char value[256];
	FILE *file;

	text = cut_between(text, "{{^bounds.graceS}}", "{{/bounds.graceS}}");
	text = replace(text, "{{#bounds.graceS}}", "");
	text = replace(text, "{{/bounds.graceS}}", "");
	text = fill_in(text, "bounds.graceS", "8");
	text = fill_in(text, "bounds.stallMs", "5000");
	text = fill_in(text, "bounds.retrySlack", "130");
	text = fill_in(text, "beatIntervalMs", "1200");
	text = fill_in(text, "faultTolerance.machines", "1");
	text = fill_in(text, "bootstrap", bootstrap ? "true" : "false");
	snprintf(value, sizeof(value), "zone-%c", "abc"[(node - 1) % 3]);
	text = fill_in(text, "zone", value);
	snprintf(value, sizeof(value), "%s/data%d", folder, node);
	text = fill_in(text, "dataDir", value);
	text = fill_in(text, "listen.control", rv_address(node, RV_CONTROL));
	text = fill_in(text, "listen.directory",
		       rv_address(node, RV_DIRECTORY));
	text = fill_in(text, "listen.front", rv_address(node, RV_FRONT));
	text = fill_in(text, "listen.readyAddr", rv_address(node, RV_READY));
	snprintf(value, sizeof(value), "%s.%d", network, node);
	text = fill_in(text, "ip", value);
	snprintf(value, sizeof(value), "%d", first_port + RV_PEERS);
	text = fill_in(text, "portRange.0", value);
	snprintf(value, sizeof(value), "%d", first_port + RV_METRICS);
	text = fill_in(text, "portRange.1", value);
	snprintf(value, sizeof(value), "[\"%s\",\"%s\",\"%s\"]",
		 rv_address(1, RV_CONTROL), rv_address(2, RV_CONTROL),
		 rv_address(3, RV_CONTROL));
	text = fill_in(text, "seeds|json", value);
	if (strstr(text, "{{"))
		rv_cannot("a template has an unknown field: %.60s",
			  strstr(text, "{{"));
	snprintf(path, size, "%s/settings%d.toml", folder, node);
	file = fopen(path, "w");
	if (!file || fputs(text, file) < 0 || fclose(file))
		rv_cannot("%s: %s", path, strerror(errno));
	free(text);
}

void rv_start_node(int node)
{
	char path[128], log[128];
	pid_t pid;

	write_settings(node, !nodes[node].starts++ && node <= RV_CONTROLS, path,
		       sizeof(path));
	snprintf(log, sizeof(log), "%s/log%d", folder, node);
	pid = fork();
	if (!pid) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		execl(PROGRAM, PROGRAM, "--settings", path, (char *)NULL);
		_exit(127);
	}
	nodes[node].pid = pid;
	rv_say("node %d started (%s), pid %d", node,
	       has_control(node) ? "control" : "entry", (int)pid);
}

void rv_add_control(int node)
{
	nodes[node].added_control = true;
	rv_start_node(node);
}

void rv_remove_control(int node)
{
	double until = rv_now() + GRACE_S;
	char path[128];

	rv_say("node %d is removed: SIGTERM", node);
	kill(nodes[node].pid, SIGTERM);
	while (waitpid(nodes[node].pid, NULL, WNOHANG) == 0) {
		if (rv_now() > until)
			kill(nodes[node].pid, SIGKILL);
		rv_sleep(0.02);
	}
	nodes[node].pid = 0;
	snprintf(path, sizeof(path), "%s/data%d", folder, node);
	remove_folder(path);
	rv_say("node %d has ended; its disk is gone", node);
}

void rv_start_system(int entry_count)
{
	if (access(PROGRAM, X_OK))
		rv_cannot("%s isn't built", PROGRAM);
	entries = entry_count;
	for (int i = 1; i <= RV_CONTROLS + entries; i++)
		rv_start_node(i);
}

pid_t rv_node_pid(int node)
{
	return nodes[node].pid;
}

void rv_signal_node(int node, int signal)
{
	rv_say("node %d gets signal %d (%s)", node, signal, strsignal(signal));
	kill(nodes[node].pid, signal);
	if (signal != SIGKILL)
		return;
	waitpid(nodes[node].pid, NULL, 0);
	nodes[node].pid = 0;
}

static unsigned long long find_inode(const char *ip, int port)
{
	FILE *file = fopen("/proc/net/tcp", "r");
	unsigned long long found = 0;
	char line[512];

	while (file && !found && fgets(line, sizeof(line), file)) {
		unsigned address, local_port;
		unsigned long long inode;

		if (sscanf(line, " %*d: %x:%x %*s %*s %*s %*s %*s %*s %*s %llu",
			   &address, &local_port, &inode) == 3 &&
		    address == inet_addr(ip) && (int)local_port == port)
			found = inode;
	}
	if (file)
		fclose(file);
	return found;
}

bool rv_socket_is_of(int node, const char *ip, int port)
{
	unsigned long long inode = find_inode(ip, port);
	char path[64], wanted[64], name[320], link[64];
	struct dirent *entry;
	bool found = false;
	DIR *dir;

	if (!inode)
		return false;
	snprintf(wanted, sizeof(wanted), "socket:[%llu]", inode);
	snprintf(path, sizeof(path), "/proc/%d/fd", (int)nodes[node].pid);
	dir = opendir(path);
	while (dir && !found && (entry = readdir(dir))) {
		ssize_t size;

		snprintf(name, sizeof(name), "%s/%s", path, entry->d_name);
		size = readlink(name, link, sizeof(link) - 1);
		found = size > 0 && (link[size] = '\0', !strcmp(link, wanted));
	}
	if (dir)
		closedir(dir);
	return found;
}

void rv_put_config(const char *json)
{
	double until = rv_now() + 30;

	for (int i = 0; rv_now() < until; i++) {
		int node = 1 + i % RV_CONTROLS;
		int status = rv_post_json(rv_address(node, RV_CONTROL),
					  "/v1/config/put", json, 1000);

		if (status == 200) {
			rv_say("node %d acknowledged the configuration", node);
			return;
		}
		if (status >= 400 && status < 500)
			rv_cannot("the configuration was refused: %d", status);
		rv_sleep(0.1);
	}
	rv_cannot("no node acknowledged the configuration");
}

/* ---- HTTP ---- */

static bool wait_for(int fd, short events, double until)
{
	struct pollfd wanted = { fd, events, 0 };
	double left = until - rv_now();

	return left > 0 && poll(&wanted, 1, (int)(left * 1000) + 1) > 0;
}

static int connect_to(const char *address, double until)
{
	struct sockaddr_in to = { .sin_family = AF_INET };
	char ip[32];
	int port, fd, error = 0;
	socklen_t size = sizeof(error);

	if (sscanf(address, "%31[0-9.]:%d", ip, &port) != 2)
		return -1;
	to.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, ip, &to.sin_addr);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	if (connect(fd, (struct sockaddr *)&to, sizeof(to)) &&
	    (errno != EINPROGRESS || !wait_for(fd, POLLOUT, until) ||
	     getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) || error)) {
		close(fd);
		return -1;
	}
	return fd;
}

bool rv_write(int fd, const char *bytes, size_t size)
{
	while (size) {
		ssize_t n = send(fd, bytes, size, MSG_NOSIGNAL);

		if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
			struct pollfd wanted = { fd, POLLOUT, 0 };

			if (poll(&wanted, 1, 5000) <= 0)
				return false;
			continue;
		}
		if (n <= 0)
			return false;
		bytes += n;
		size -= (size_t)n;
	}
	return true;
}

bool rv_header(const char *head, const char *name, char *out, size_t size)
{
	size_t length = strlen(name);

	for (const char *line = head; (line = strchr(line, '\n'));) {
		const char *value, *end;

		line++;
		if (strncasecmp(line, name, length) != 0 || line[length] != ':')
			continue;
		value = line + length + 1;
		value += strspn(value, " \t");
		end = value + strcspn(value, "\r\n");
		snprintf(out, size, "%.*s", (int)(end - value), value);
		return true;
	}
	return false;
}

/* Decodes a chunked body in place; returns whether its end has come. */
static bool decode_chunks(char *body, size_t *size)
{
	char *from = body, *to = body, *end = body + *size;
	bool whole = false;

	while (from < end) {
		char *line = memchr(from, '\n', (size_t)(end - from));
		size_t n;

		if (!line)
			break;
		n = strtoul(from, NULL, 16);
		from = line + 1;
		if (!n) {
			whole = true;
			break;
		}
		if (n + 2 > (size_t)(end - from))
			break;
		memmove(to, from, n);
		to += n;
		from += n + 2;
	}
	*size = (size_t)(to - body);
	*to = '\0';
	return whole;
}

struct buffer {
	char *bytes;
	size_t size;
};

/* Returns the number of bytes read, 0 at the end, -1 for a break. */
static ssize_t read_more(int fd, struct buffer *in, double until)
{
	ssize_t n;

	if (!wait_for(fd, POLLIN, until))
		return -2;
	in->bytes = realloc(in->bytes, in->size + REQUEST_MAX + 1);
	n = recv(fd, in->bytes + in->size, REQUEST_MAX, 0);
	if (n > 0)
		in->size += (size_t)n;
	in->bytes[in->size] = '\0';
	return n;
}

static bool answer_is_whole(struct rv_answer *answer, bool ended)
{
	char text[64];
	size_t length;

	if (rv_header(answer->head, "Transfer-Encoding", text, sizeof(text))) {
		char *copy = malloc(answer->size + 1);
		size_t size = answer->size;
		bool whole;

		memcpy(copy, answer->body, size + 1);
		whole = decode_chunks(copy, &size);
		if (whole || ended) {
			free(answer->body);
			answer->body = copy;
			answer->size = size;
		} else {
			free(copy);
		}
		return whole;
	}
	if (answer->status == 204 || answer->status == 304)
		return true;
	if (!rv_header(answer->head, "Content-Length", text, sizeof(text)))
		return ended;
	length = strtoul(text, NULL, 10);
	return answer->size >= length;
}

static bool split_answer(const struct buffer *in, struct rv_answer *answer)
{
	char *end = in->bytes ? strstr(in->bytes, "\r\n\r\n") : NULL;

	if (!end)
		return false;
	free(answer->head);
	free(answer->body);
	answer->head = strndup(in->bytes, (size_t)(end + 2 - in->bytes));
	answer->size = in->size - (size_t)(end + 4 - in->bytes);
	answer->body = malloc(answer->size + 1);
	memcpy(answer->body, end + 4, answer->size);
	answer->body[answer->size] = '\0';
	if (sscanf(answer->head, "HTTP/1.%*d %d", &answer->status) != 1)
		answer->status = 0;
	return true;
}

void rv_exchange(const char *address, const char *bytes, size_t size,
		 int timeout_ms, struct rv_answer *answer)
{
	double until = rv_now() + timeout_ms / 1000.0;
	struct buffer in = { NULL, 0 };
	int fd = connect_to(address, until);
	ssize_t n = 1;

	memset(answer, 0, sizeof(*answer));
	if (fd < 0) {
		answer->why = "no connection";
		return;
	}
	if (!rv_write(fd, bytes, size))
		answer->why = "the connection broke";
	while (!answer->why && !answer->whole) {
		n = read_more(fd, &in, until);
		if (split_answer(&in, answer))
			answer->whole = answer_is_whole(answer, n == 0);
		if (n > 0 || answer->whole)
			continue;
		answer->why = n == -2 ? "timeout" : n == 0 ? "closed" : "reset";
	}
	close(fd);
	free(in.bytes);
}

void rv_answer_clear(struct rv_answer *answer)
{
	free(answer->head);
	free(answer->body);
	memset(answer, 0, sizeof(*answer));
}

int rv_post_json(const char *address, const char *path, const char *json,
		 int timeout_ms)
{
	size_t size = strlen(json) + 512;
	char *text = malloc(size);
	struct rv_answer answer;
	int status;

	snprintf(text, size,
		 "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: "
		 "application/json\r\nConnection: close\r\nContent-Length: "
		 "%zu\r\n\r\n%s",
		 path, address, strlen(json), json);
	rv_exchange(address, text, strlen(text), timeout_ms, &answer);
	status = answer.whole ? answer.status : 0;
	rv_answer_clear(&answer);
	free(text);
	return status;
}

/* ---- stand-ins for replicas ---- */

rv_reach_fn rv_reaches;

struct connection {
	struct rv_replica *replica;
	int fd;
	struct sockaddr_in peer;
};

static void reset_fd(int fd)
{
	struct linger now = { 1, 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	shutdown(fd, SHUT_RD);
}

void rv_reset(const struct rv_request *request)
{
	reset_fd(request->fd);
}

bool rv_respond(const struct rv_request *request, const char *status,
		const char *body)
{
	char text[1024];

	snprintf(text, sizeof(text),
		 "HTTP/1.1 %s\r\nAttempt-Id: %s\r\nResponse-Seal: seal.%s\r\n"
		 "Content-Length: %zu\r\n\r\n%s",
		 status, request->id, request->id, strlen(body), body);
	return rv_write(request->fd, text, strlen(text));
}

/* Reads one request; returns its length, or 0 at the end. */
static size_t read_request(int fd, struct buffer *in, struct rv_request *r)
{
	char length[32] = "0", *end;
	size_t head, body;

	for (;;) {
		end = in->size ? strstr(in->bytes, "\r\n\r\n") : NULL;
		if (end) {
			head = (size_t)(end + 4 - in->bytes);
			rv_header(in->bytes, "Content-Length", length,
				  sizeof(length));
			body = strtoul(length, NULL, 10);
			if (in->size >= head + body)
				break;
		}
		if (read_more(fd, in, rv_now() + 120) <= 0)
			return 0;
	}
	r->fd = fd;
	r->head = in->bytes;
	r->body = in->bytes + head;
	r->size = body;
	r->id[0] = '\0';
	rv_header(in->bytes, "Attempt-Id", r->id, sizeof(r->id));
	if (sscanf(in->bytes, "%15s %255s", r->method, r->path) != 2)
		return 0;
	return head + body;
}

static void *serve_connection(void *arg)
{
	struct connection c = *(struct connection *)arg;
	struct buffer in = { NULL, 0 };
	struct rv_request request;
	bool open = true;
	size_t size;

	free(arg);
	inet_ntop(AF_INET, &c.peer.sin_addr, request.peer_ip,
		  sizeof(request.peer_ip));
	request.peer_port = ntohs(c.peer.sin_port);
	if (rv_reaches && !rv_reaches(request.peer_ip, request.peer_port)) {
		reset_fd(c.fd);
		open = false;
	}
	while (open && !c.replica->ended &&
	       (size = read_request(c.fd, &in, &request))) {
		char value[32] = "";

		rv_header(request.head, "Connection", value, sizeof(value));
		open = !c.replica->ended &&
		       c.replica->serve(c.replica, &request) &&
		       strcasecmp(value, "close") != 0;
		memmove(in.bytes, in.bytes + size, in.size - size + 1);
		in.size -= size;
	}
	if (c.replica->ended)
		reset_fd(c.fd);
	close(c.fd);
	free(in.bytes);
	return NULL;
}

static void start_thread(void *(*run)(void *), void *arg)
{
	pthread_attr_t attr;
	pthread_t thread;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, 256 * 1024);
	if (pthread_create(&thread, &attr, run, arg))
		rv_cannot("no thread: %s", strerror(errno));
	pthread_attr_destroy(&attr);
}

static void *accept_connections(void *arg)
{
	struct rv_replica *replica = arg;

	while (!replica->ended) {
		struct connection *c = malloc(sizeof(*c));
		socklen_t size = sizeof(c->peer);

		c->replica = replica;
		c->fd = accept4(replica->listener, (struct sockaddr *)&c->peer,
				&size, SOCK_CLOEXEC);
		if (c->fd < 0) {
			free(c);
			break;
		}
		start_thread(serve_connection, c);
	}
	return NULL;
}

/*
 * Makes a call to the node after the one of its last call, by turns among those
 * that serve control, then to the next ones until one acknowledges it within a
 * second.
 */
static int call_control(struct rv_replica *r, const char *path,
			const char *json)
{
	for (int i = 0; i < RV_CONTROLS; i++) {
		int node = 1 + (int)(r->calls++ % RV_CONTROLS);
		int status = rv_post_json(rv_address(node, RV_CONTROL), path,
					  json, CONTROL_WAIT_MS);

		if (status >= 200 && status < 300)
			return node;
	}
	return 0;
}

int rv_beat(struct rv_replica *r)
{
	char path[128], json[512];
	int node;

	snprintf(path, sizeof(path), "/v1/instances/%s/heartbeat", r->id);
	snprintf(json, sizeof(json),
		 "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"zone-a\","
		 "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
		 "\"coldLeftMs\":0,\"born\":%lld,\"sequence\":%ld}",
		 r->service, r->address, r->slots,
		 r->draining ? "draining" : "ready", (long long)r->born,
		 ++r->sequence);
	node = call_control(r, path, json);
	if (node)
		r->heard_by = node;
	return node;
}

int rv_deregister(struct rv_replica *r)
{
	char path[128];

	snprintf(path, sizeof(path), "/v1/instances/%s/deregister", r->id);
	return call_control(r, path, "");
}

static void *send_heartbeats(void *arg)
{
	struct rv_replica *replica = arg;

	while (!replica->silent) {
		rv_beat(replica);
		rv_sleep(RV_BEAT_MS / 1000.0);
	}
	return NULL;
}

struct rv_replica *rv_start_replica(const char *service, rv_serve_fn serve,
				    void *ctx)
{
	struct rv_replica *r = calloc(1, sizeof(*r));
	struct sockaddr_in address = { 0 };
	socklen_t size = sizeof(address);
	struct timespec now;
	char ip[32];

	clock_gettime(CLOCK_REALTIME, &now);
	r->born = (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
	r->slots = 6;
	r->calls = (unsigned)(rv_random() * RV_CONTROLS);
	r->serve = serve;
	r->ctx = ctx;
	snprintf(r->service, sizeof(r->service), "%s", service);
	snprintf(r->id, sizeof(r->id), "i-%04x%06x", ++replicas,
		 (unsigned)(r->born & 0xffffff));
	snprintf(ip, sizeof(ip), "%s.%d", network,
		 REPLICA_HOST_FIRST + replicas);
	r->listener = open_socket(ip, 0, true);
	if (r->listener < 0 ||
	    getsockname(r->listener, (struct sockaddr *)&address, &size))
		rv_cannot("no port for a replica");
	snprintf(r->address, sizeof(r->address), "%s:%d", ip,
		 ntohs(address.sin_port));
	start_thread(accept_connections, r);
	start_thread(send_heartbeats, r);
	rv_say("replica %s of %s started at %s", r->id, service, r->address);
	return r;
}

void rv_end_replica(struct rv_replica *replica)
{
	replica->silent = true;
	replica->ended = true;
	shutdown(replica->listener, SHUT_RDWR);
	close(replica->listener);
	rv_say("replica %s has ended", replica->id);
}
