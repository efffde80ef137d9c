/**
 * @file
 * IP addresses written as `a.b.c.d:port`. No names are looked up. Any thread
 * may call.
 */
#ifndef COMMON_ADDRESS_H
#define COMMON_ADDRESS_H

#include <stdbool.h>
#include <stdint.h>

#include <netinet/in.h>

#define ADDRESS_MAX 64

/** A split address. */
struct address {
	char host[48];
	uint16_t port;
	struct sockaddr_in socket;
};

/** Parses `a.b.c.d:port`; false if it is anything else. */
bool address_parse(const char *text, struct address *out);

/** Opens a non-blocking listening TCP socket, -1 with errno on failure. */
int address_listen(const struct address *address, int backlog);

/** Returns the local port of a socket, 0 on failure. */
int address_local_port(int fd);

/** Turns off Nagle's delay and bounds how long unacknowledged data lives. */
void address_set_tcp_options(int fd, int user_timeout_ms);

#endif
