#include <sys/resource.h>
#include <unistd.h>

#include "settings/ports.h"

#define MIB 1048576
#define MS_PER_S 1000
#define WHOLE 1000
/* For the log, files, timers and listening sockets. */
#define DESCRIPTORS_RESERVED 48

/** Shares in thousandths of the whole. */
struct port_shares {
	int connections, request_bytes, unread_bytes;
};

/* What is left is for connections to endpoints and to other processes. */
static const struct port_shares shares[CLIENT_PORTS] = {
	[CLIENT_PORT_CALLERS] = { 400, 200, 150 },
	[CLIENT_PORT_ENDPOINTS] = { 80, 30, 10 },
	[CLIENT_PORT_READINESS] = { 20, 5, 5 },
	[CLIENT_PORT_METRICS] = { 20, 5, 20 },
	[CLIENT_PORT_OPERATORS] = { 150, 100, 75 },
	[CLIENT_PORT_DIRECTORY] = { 100, 10, 10 },
};

#define PEERS_SHARE 200
#define PEERS_MAX 2048

/* Answers of endpoints that aren't whole yet. */
#define ANSWERS_SHARE 200

static int64_t share_of(int64_t whole, int share)
{
	return whole / WHOLE * share;
}

static int64_t memory_bytes(const struct daemon_settings *settings)
{
	int64_t mib = settings->limits.memory_mb;

	return mib ? mib * MIB
		   : (int64_t)sysconf(_SC_PHYS_PAGES) * sysconf(_SC_PAGESIZE);
}

static int64_t descriptors(const struct daemon_settings *settings)
{
	struct rlimit limit;
	int64_t count = settings->limits.descriptors;

	if (!count && !getrlimit(RLIMIT_NOFILE, &limit))
		count = (int64_t)MIN(limit.rlim_cur, (rlim_t)G_MAXINT);
	return MAX(count - DESCRIPTORS_RESERVED, WHOLE / 20);
}

struct http_server_limits ports_server_limits(
	const struct daemon_settings *settings, enum client_port port)
{
	const struct port_shares *s = &shares[port];
	int64_t memory = memory_bytes(settings);
	int64_t connections = descriptors(settings) * s->connections / WHOLE;

	if (port == CLIENT_PORT_CALLERS)
		connections = MIN(connections, settings->limits.connections);
	return (struct http_server_limits){
		.connections = (int)MAX(connections, 1),
		.request_bytes = (size_t)share_of(memory, s->request_bytes),
		.unread_bytes = (size_t)share_of(memory, s->unread_bytes),
	};
}

struct http_client_limits ports_client_limits(
	const struct daemon_settings *settings, size_t head_bytes,
	size_t body_bytes)
{
	const struct limit_settings *limits = &settings->limits;

	return (struct http_client_limits){
		.head_bytes = head_bytes,
		.body_bytes = body_bytes,
		.head_ms = (int)limits->slow_sender_s * MS_PER_S,
		.idle_ms = (int)limits->slow_sender_s * MS_PER_S,
		.receive_ms = (int)limits->receive_s * MS_PER_S,
	};
}

int ports_peer_connections(const struct daemon_settings *settings)
{
	int64_t count = descriptors(settings) * PEERS_SHARE / WHOLE;

	return (int)CLAMP(count, 1, PEERS_MAX);
}

size_t ports_answer_bytes(const struct daemon_settings *settings)
{
	return (size_t)share_of(memory_bytes(settings), ANSWERS_SHARE);
}
