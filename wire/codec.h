/**
 * @file
 * XDR encoding of the types in radishdeal.x into byte strings.
 *
 * Any thread may call. Strings inside encoded values must not be NULL; a
 * decoded value is released by codec_free().
 */
#ifndef WIRE_CODEC_H
#define WIRE_CODEC_H

#include <stdbool.h>

#include <glib.h>

#include "wire/radishdeal.h"

/** Encodes a value; NULL if it breaks a bound of its type. */
GBytes *codec_encode(xdrproc_t proc, const void *value);

/** Decodes all of `data` into a zeroed value; frees it again on failure. */
bool codec_decode(xdrproc_t proc, const void *data, size_t size, void *value);

/** Decodes a GBytes. */
bool codec_decode_bytes(xdrproc_t proc, GBytes *bytes, void *value);

/** Copies a value deeply into a zeroed one. */
bool codec_copy(xdrproc_t proc, const void *from, void *to);

/** Frees what a value owns and zeroes `size` bytes of it. */
void codec_free(xdrproc_t proc, void *value, size_t size);

#define CODEC_ENCODE(type, value) codec_encode((xdrproc_t)xdr_##type, value)
#define CODEC_DECODE(type, bytes, value) \
	codec_decode_bytes((xdrproc_t)xdr_##type, bytes, value)
#define CODEC_COPY(type, from, to) codec_copy((xdrproc_t)xdr_##type, from, to)
#define CODEC_FREE(type, value) \
	codec_free((xdrproc_t)xdr_##type, value, sizeof(struct type))

#endif
