// Converts a document parsed by toml++ into C structs. This is the only C++
// file: the rest of the program is C.
#include <cstdlib>
#include <cstring>
#include <string>
#include <string_view>

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

#include "settings/toml.h"

static struct toml_node *convert(const toml::node &node);

static struct toml_node *new_node(enum toml_type type, const toml::node &from)
{
	auto *n = static_cast<struct toml_node *>(calloc(1, sizeof(toml_node)));
	if (!n)
		abort();
	n->type = type;
	n->line = static_cast<int>(from.source().begin.line);
	return n;
}

static void append(struct toml_node *parent, struct toml_node *child)
{
	struct toml_node **link = &parent->children;
	while (*link)
		link = &(*link)->next;
	*link = child;
}

static struct toml_node *convert_table(const toml::table &table)
{
	struct toml_node *n = new_node(TOML_TABLE, table);
	for (auto &&[key, value] : table) {
		struct toml_node *child = convert(value);
		child->key = strdup(std::string(key.str()).c_str());
		append(n, child);
	}
	return n;
}

static struct toml_node *convert_array(const toml::array &array)
{
	struct toml_node *n = new_node(TOML_ARRAY, array);
	for (auto &&value : array)
		append(n, convert(value));
	return n;
}

static struct toml_node *convert(const toml::node &node)
{
	if (auto *table = node.as_table())
		return convert_table(*table);
	if (auto *array = node.as_array())
		return convert_array(*array);
	struct toml_node *n = new_node(TOML_OTHER, node);
	if (auto *s = node.as_string()) {
		n->type = TOML_STRING;
		n->string = strdup(s->get().c_str());
	} else if (auto *i = node.as_integer()) {
		n->type = TOML_INTEGER;
		n->integer = i->get();
	} else if (auto *f = node.as_floating_point()) {
		n->type = TOML_FLOAT;
		n->number = f->get();
	} else if (auto *b = node.as_boolean()) {
		n->type = TOML_BOOLEAN;
		n->boolean = b->get();
	}
	return n;
}

struct toml_node *toml_parse(const char *text, char **error, int *error_line)
{
	toml::parse_result result = toml::parse(std::string_view(text));

	if (!result) {
		const auto &e = result.error();
		*error = strdup(std::string(e.description()).c_str());
		*error_line = static_cast<int>(e.source().begin.line);
		return nullptr;
	}
	return convert_table(result.table());
}

void toml_free(struct toml_node *node)
{
	while (node) {
		struct toml_node *next = node->next;
		toml_free(node->children);
		free(node->key);
		free(node->string);
		free(node);
		node = next;
	}
}

struct toml_node *toml_find(const struct toml_node *table, const char *key)
{
	for (struct toml_node *n = table->children; n; n = n->next)
		if (n->key && !strcmp(n->key, key))
			return n;
	return nullptr;
}
