/**
 * @file
 * A service's TOML file, read into the replicated service_spec.
 *
 * Any thread may call.
 */
#ifndef SETTINGS_SERVICE_H
#define SETTINGS_SERVICE_H

#include <glib.h>

#include <radishdeal/result.h>

#include "wire/radishdeal.h"

/**
 * Reads text into a zeroed change; free it with CODEC_FREE(apply_service).
 * `file` names it in errors. On RD_SETTINGS *errors lists all of them, the
 * service aggregate's reasons too (caller frees).
 */
enum rd_result service_settings_read(const char *file, const char *text,
				     struct apply_service *change,
				     char **errors);

/** Appends the reference of all keys. */
void service_settings_append_reference(GString *out);

#endif
