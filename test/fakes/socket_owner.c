#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <arpa/inet.h>
#include <glib.h>
#include <unistd.h>

#include "test/fakes/socket_owner.h"

#define LINE_MAX_BYTES 512
#define LINK_MAX_BYTES 64

/* Returns the inode of the socket with that local address; 0: none. */
static uint64_t find_inode(const char *ip, uint16_t port)
{
	FILE *file = fopen("/proc/net/tcp", "r");
	char line[LINE_MAX_BYTES];
	uint64_t found = 0;

	while (file && !found && fgets(line, sizeof(line), file)) {
		uint32_t address, local_port;
		uint64_t inode;

		if (sscanf(line,
			   " %*d: %" SCNx32 ":%" SCNx32 " %*s %*s %*s %*s %*s "
			   "%*s %*s %" SCNu64,
			   &address, &local_port, &inode) == 3 &&
		    address == inet_addr(ip) && local_port == port)
			found = inode;
	}
	if (file)
		fclose(file);
	return found;
}

bool socket_is_of(pid_t pid, const char *ip, uint16_t port)
{
	uint64_t inode = find_inode(ip, port);
	char *folder = g_strdup_printf("/proc/%d/fd", (int)pid);
	char *wanted = g_strdup_printf("socket:[%" PRIu64 "]", inode);
	GDir *dir = inode ? g_dir_open(folder, 0, NULL) : NULL;
	const char *name;
	bool found = false;

	while (dir && !found && (name = g_dir_read_name(dir))) {
		char *path = g_build_filename(folder, name, NULL);
		char link[LINK_MAX_BYTES] = "";

		found = readlink(path, link, sizeof(link) - 1) > 0 &&
			!strcmp(link, wanted);
		g_free(path);
	}
	if (dir)
		g_dir_close(dir);
	g_free(wanted);
	g_free(folder);
	return found;
}
