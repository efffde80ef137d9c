#include <stddef.h>

#include <radishdeal/result.h>

static const struct rd_result_info table[] = {
#define ROW(sym, code, name, http, exits, text) \
	{ RD_##sym, name, http, exits, text },
	RD_RESULT_TABLE(ROW)
#undef ROW
};

#define TABLE_ROWS (sizeof(table) / sizeof(table[0]))

const struct rd_result_info *rd_result_row(int i)
{
	if (i < 0 || (size_t)i >= TABLE_ROWS)
		return NULL;
	return &table[i];
}

const struct rd_result_info *rd_result_info(int code)
{
	for (size_t i = 0; i < TABLE_ROWS; i++)
		if ((int)table[i].code == code)
			return &table[i];
	return rd_result_info(RD_INTERNAL);
}
