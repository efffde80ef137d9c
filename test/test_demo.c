/* The ports of `make demo`. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>

#include "common/address.h"

#define STARTS 1000
#define STARTS_STEP 37
#define PORTS 50 /* that choose-port promises */

static int choose_port(int start)
{
	char *number = g_strdup_printf("%d", start);
	char *argv[] = { (char *)"demo/choose-port", number, NULL };
	char *out = NULL;
	int status = 0, port;

	assert_true(g_spawn_sync(NULL, argv, NULL, G_SPAWN_DEFAULT, NULL, NULL,
				 &out, NULL, &status, NULL));
	assert_int_equal(status, 0);
	port = atoi(out);
	g_free(out);
	g_free(number);
	return port;
}

static int first_outgoing_port(void)
{
	char *text = NULL;
	int first;

	assert_true(g_file_get_contents("/proc/sys/net/ipv4/"
					"ip_local_port_range",
					&text, NULL, NULL));
	first = atoi(text);
	g_free(text);
	return first;
}

/* An outgoing connection took a port of the demo's before a daemon did. */
static void test_ports_are_not_outgoing(void **state)
{
	(void)state;
	for (int start = 0; start < STARTS; start += STARTS_STEP) {
		int port = choose_port(start);

		assert_in_range(port, 1024, 65535 - PORTS);
		assert_in_range(port + PORTS - 1, 1024,
				first_outgoing_port() - 1);
	}
}

static void test_ports_in_use_are_skipped(void **state)
{
	struct address address;
	int port = choose_port(1);
	char *text = g_strdup_printf("127.0.0.1:%d", port + PORTS - 1);
	int fd;

	(void)state;
	assert_true(address_parse(text, &address));
	fd = address_listen(&address, 1);
	assert_true(fd >= 0);
	assert_int_not_equal(choose_port(1), port);
	close(fd);
	g_free(text);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_ports_are_not_outgoing),
		cmocka_unit_test(test_ports_in_use_are_skipped),
	};

	return cmocka_run_group_tests_name("demo", tests, NULL, NULL);
}
