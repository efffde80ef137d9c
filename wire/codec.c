#include <string.h>

#include "wire/codec.h"

GBytes *codec_encode(xdrproc_t proc, const void *value)
{
	unsigned long size = xdr_sizeof(proc, (void *)value);
	char *data;
	XDR xdr;

	if (!size)
		return NULL;
	data = g_malloc(size);
	xdrmem_create(&xdr, data, (u_int)size, XDR_ENCODE);
	if (!proc(&xdr, (void *)value)) {
		g_free(data);
		return NULL;
	}
	size = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	return g_bytes_new_take(data, size);
}

bool codec_decode(xdrproc_t proc, const void *data, size_t size, void *value)
{
	XDR xdr;
	bool ok;

	xdrmem_create(&xdr, (char *)data, (u_int)size, XDR_DECODE);
	ok = proc(&xdr, value) && xdr_getpos(&xdr) == size;
	xdr_destroy(&xdr);
	if (!ok)
		xdr_free(proc, value);
	return ok;
}

bool codec_decode_bytes(xdrproc_t proc, GBytes *bytes, void *value)
{
	gsize size;
	const void *data = g_bytes_get_data(bytes, &size);

	return codec_decode(proc, data, size, value);
}

bool codec_copy(xdrproc_t proc, const void *from, void *to)
{
	GBytes *bytes = codec_encode(proc, from);
	bool ok;

	if (!bytes)
		return false;
	ok = codec_decode_bytes(proc, bytes, to);
	g_bytes_unref(bytes);
	return ok;
}

void codec_free(xdrproc_t proc, void *value, size_t size)
{
	xdr_free(proc, value);
	memset(value, 0, size);
}
