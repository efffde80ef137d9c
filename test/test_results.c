/* Result codes: docs/RESULTS.md and the table in the code must agree. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include <radishdeal/result.h>

static char *row_text(const struct rd_result_info *row)
{
	return g_strdup_printf("| %d | `%s` | %d | %d | %s |", (int)row->code,
			       row->name, row->http_status, row->exit_status,
			       row->text);
}

static void test_each_code_is_documented(void **state)
{
	char *page = NULL;
	int rows = 0, lines = 0;

	(void)state;
	assert_true(g_file_get_contents("docs/RESULTS.md", &page, NULL, NULL));
	for (int i = 0; rd_result_row(i); i++, rows++) {
		char *text = row_text(rd_result_row(i));

		if (!strstr(page, text))
			fail_msg("docs/RESULTS.md has no row: %s", text);
		g_free(text);
	}
	for (const char *at = page; (at = strstr(at, "\n| ")); at++)
		lines += g_ascii_isdigit(at[3]);
	assert_int_equal(lines, rows);
	g_free(page);
}

static void test_codes_are_unique(void **state)
{
	(void)state;
	for (int i = 0; rd_result_row(i); i++)
		for (int j = 0; j < i; j++) {
			assert_int_not_equal(rd_result_row(i)->code,
					     rd_result_row(j)->code);
			assert_string_not_equal(rd_result_row(i)->name,
						rd_result_row(j)->name);
		}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_each_code_is_documented),
		cmocka_unit_test(test_codes_are_unique),
	};

	return cmocka_run_group_tests_name("results", tests, NULL, NULL);
}
