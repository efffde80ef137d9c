/*
 * Lookup of routes by host and path prefix, and of client accounts by API key.
 */
#include <string.h>

#include "common/key_hash.h"
#include "entry/entry_internal.h"

struct routes {
	GHashTable *by_prefix; /* "host\nprefix" -> const struct route_spec */
	GHashTable *accounts;  /* API key hash -> account */
};

static char *prefix_key(const char *host, size_t host_size, const char *path,
			size_t path_size)
{
	char *key = g_malloc(host_size + path_size + 2);

	for (size_t i = 0; i < host_size; i++)
		key[i] = g_ascii_tolower(host[i]);
	key[host_size] = '\n';
	memcpy(key + host_size + 1, path, path_size);
	key[host_size + 1 + path_size] = '\0';
	return key;
}

struct routes *routes_create(const struct deployment *deployment)
{
	struct routes *routes = g_new0(struct routes, 1);

	routes->by_prefix = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, NULL);
	routes->accounts = g_hash_table_new(key_hash_code, key_hash_equal);
	for (u_int i = 0; i < deployment->routes.routes_len; i++) {
		struct route_spec *r = &deployment->routes.routes_val[i];

		g_hash_table_insert(routes->by_prefix,
				    prefix_key(r->host, strlen(r->host),
					       r->path_prefix,
					       strlen(r->path_prefix)),
				    r);
	}
	for (u_int i = 0; i < deployment->accounts.accounts_len; i++) {
		struct client_account *a =
			&deployment->accounts.accounts_val[i];

		for (u_int j = 0; j < a->keys.keys_len; j++)
			g_hash_table_insert(routes->accounts,
					    a->keys.keys_val[j].sha256, a);
	}
	return routes;
}

void routes_destroy(struct routes *routes)
{
	if (!routes)
		return;
	g_hash_table_unref(routes->by_prefix);
	g_hash_table_unref(routes->accounts);
	g_free(routes);
}

const struct route_spec *routes_find(const struct routes *routes,
				     const char *host, const char *path)
{
	size_t host_size = strcspn(host, ":");
	char *key = prefix_key(host, host_size, path, strcspn(path, "?#"));
	char *start = key + host_size + 1;
	const struct route_spec *found = NULL;
	char *slash;

	/* Prefixes end with a slash; tries each one, longest first. */
	while (!found && (slash = strrchr(start, '/'))) {
		slash[1] = '\0';
		found = g_hash_table_lookup(routes->by_prefix, key);
		slash[0] = '\0';
	}
	g_free(key);
	return found;
}

const struct client_account *routes_account(const struct routes *routes,
					    const char *key)
{
	uint8_t hash[KEY_HASH_BYTES];

	key_hash_compute(key, hash);
	return g_hash_table_lookup(routes->accounts, hash);
}
