/**
 * @file
 * Tells which process has opened a connection, so that an endpoint can treat
 * the entries of a test differently.
 */
#ifndef TEST_FAKES_SOCKET_OWNER_H
#define TEST_FAKES_SOCKET_OWNER_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/** Whether a process has a TCP socket with that local address. */
bool socket_is_of(pid_t pid, const char *ip, uint16_t port);

#endif
