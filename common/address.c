#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "common/address.h"

#define PORT_MAX 65535

bool address_parse(const char *text, struct address *out)
{
	const char *colon = strrchr(text, ':');
	char *end;
	long port;

	memset(out, 0, sizeof(*out));
	if (!colon || (size_t)(colon - text) >= sizeof(out->host) || !colon[1])
		return false;
	memcpy(out->host, text, (size_t)(colon - text));
	port = strtol(colon + 1, &end, 10);
	if (*end || port < 0 || port > PORT_MAX)
		return false;
	out->port = (uint16_t)port;
	out->socket.sin_family = AF_INET;
	out->socket.sin_port = htons(out->port);
	return inet_pton(AF_INET, out->host, &out->socket.sin_addr) == 1;
}

int address_listen(const struct address *address, int backlog)
{
	int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	if (setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) ||
	    bind(fd, (const struct sockaddr *)&address->socket,
		 sizeof(address->socket)) ||
	    listen(fd, backlog)) {
		int saved = errno;

		close(fd);
		errno = saved;
		return -1;
	}
	return fd;
}

int address_local_port(int fd)
{
	struct sockaddr_in local = { 0 };
	socklen_t size = sizeof(local);

	if (getsockname(fd, (struct sockaddr *)&local, &size))
		return 0;
	return ntohs(local.sin_port);
}

void address_set_tcp_options(int fd, int user_timeout_ms)
{
	int on = 1;
	unsigned int timeout = (unsigned int)user_timeout_ms;

	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
			 sizeof(timeout));
}
