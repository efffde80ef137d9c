/**
 * @file
 * IPv4 socket addresses in the form `a.b.c.d:port`. Host names are not
 * resolved. Any thread may call.
 */
#ifndef COMMON_ADDRESS_H
#define COMMON_ADDRESS_H

#include <stdbool.h>
#include <stdint.h>

#include <netinet/in.h>

#define ADDRESS_MAX 64

/** A parsed address. */
struct address {
	char host[48];
	uint16_t port;
	struct sockaddr_in socket;
};

/** Parses `a.b.c.d:port`. Returns false if the text has another form. */
bool address_parse(const char *text, struct address *out);

/**
 * Opens a non-blocking listening TCP socket. Returns -1 with errno set on
 * failure.
 */
int address_listen(const struct address *address, int backlog);

/** Returns the local port of a socket, or 0 on failure. */
int address_local_port(int fd);

/**
 * Disables Nagle's algorithm and sets TCP_USER_TIMEOUT, which closes the
 * connection when sent data stays unacknowledged for that long. 0 keeps the
 * system's default timeout.
 */
void address_set_tcp_options(int fd, int user_timeout_ms);

#endif
