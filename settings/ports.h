/**
 * @file
 * What the clients of each HTTP port may take together, as shares of the VM's
 * memory and of the process's descriptors.
 *
 * The shares of the ports of one process, whatever its roles, add up to less
 * than the whole, so that a crowd at one port leaves the others theirs. Any
 * thread may call.
 */
#ifndef SETTINGS_PORTS_H
#define SETTINGS_PORTS_H

#include "common/http_server.h"
#include "settings/daemon.h"

enum client_port {
	CLIENT_PORT_CALLERS,
	CLIENT_PORT_ENDPOINTS,
	CLIENT_PORT_READINESS,
	CLIENT_PORT_METRICS,
	CLIENT_PORT_OPERATORS,
	CLIENT_PORT_DIRECTORY,
	CLIENT_PORTS
};

/** Returns the limits on all clients of a port together. */
struct http_server_limits ports_server_limits(
	const struct daemon_settings *settings, enum client_port port);

/**
 * Returns the limits on each client of a port that takes heads and bodies of
 * these sizes.
 */
struct http_client_limits ports_client_limits(
	const struct daemon_settings *settings, size_t head_bytes,
	size_t body_bytes);

/** Returns the limit on connections of other processes of the cluster. */
int ports_peer_connections(const struct daemon_settings *settings);

/** Returns the limit on the bytes of unfinished answers of endpoints. */
size_t ports_answer_bytes(const struct daemon_settings *settings);

#endif
