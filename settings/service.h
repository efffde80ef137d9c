/**
 * @file
 * Parses the TOML file of a service into the replicated service_spec.
 *
 * The functions are thread-safe.
 */
#ifndef SETTINGS_SERVICE_H
#define SETTINGS_SERVICE_H

#include <glib.h>

#include <radishdeal/result.h>

#include "wire/radishdeal.h"

/**
 * Parses and validates TOML text into a zeroed `change`, which the caller frees
 * with CODEC_FREE(apply_service) in either case. `file` is the name shown in
 * errors. Returns RD_OK or RD_SETTINGS. *errors is NULL or lists every error,
 * those of service_validate() included; the caller frees it with g_free().
 */
enum rd_result service_settings_read(const char *file, const char *text,
				     struct apply_service *change,
				     char **errors);

/** Appends a reference of all keys. */
void service_settings_append_reference(GString *out);

#endif
