#include <string.h>

#include "trefoilhilld/setting_desc.h"
#include "trefoilhilld/settings.h"

enum {
	FILE_MAX_BYTES = 256 * 1024,
};

G_DEFINE_QUARK(trefoilhill - settings - error, settings_error)

static bool
section_check(
    GKeyFile *file, const char *path, const char *section, GError **error)
{
	char **keys = g_key_file_get_keys(file, section, NULL, NULL);
	bool valid = true;

	if (!setting_section_exists(section)) {
		g_set_error(error, SETTINGS_ERROR,
		    SETTINGS_ERROR_UNKNOWN_SECTION, "%s: [%s]: unknown section",
		    path, section);
		valid = false;
	}
	for (char **key = keys; valid && *key != NULL; key++) {
		if (setting_desc_find(section, *key) != NULL)
			continue;
		g_set_error(error, SETTINGS_ERROR, SETTINGS_ERROR_UNKNOWN_KEY,
		    "%s: [%s] %s: unknown key", path, section, *key);
		valid = false;
	}
	g_strfreev(keys);
	return valid;
}

static bool
sections_check(GKeyFile *file, const char *path, GError **error)
{
	char **sections = g_key_file_get_groups(file, NULL);
	bool valid = true;

	for (char **section = sections; valid && *section != NULL; section++)
		valid = section_check(file, path, *section, error);
	g_strfreev(sections);
	return valid;
}

static void
value_error_set(GError **error, const char *path,
    const struct setting_desc *desc, const char *text)
{
	char *expected = setting_desc_expected(desc);

	if (text == NULL)
		g_set_error(error, SETTINGS_ERROR, SETTINGS_ERROR_MISSING,
		    "%s: [%s] %s: missing, expected %s", path, desc->section,
		    desc->key, expected);
	else
		g_set_error(error, SETTINGS_ERROR, SETTINGS_ERROR_VALUE,
		    "%s: [%s] %s: \"%s\" is not valid, expected %s", path,
		    desc->section, desc->key, text, expected);
	g_free(expected);
}

static bool
setting_load(GKeyFile *file, const char *path, const struct setting_desc *desc,
    struct settings *settings, GError **error)
{
	bool valid = false;
	char *text;

	text = g_key_file_get_string(file, desc->section, desc->key, NULL);
	if (text == NULL)
		text = g_strdup(desc->default_value);
	if (text != NULL)
		valid = setting_desc_store(desc, g_strstrip(text), settings);
	if (!valid)
		value_error_set(error, path, desc, text);
	g_free(text);
	return valid;
}

/*
 * Read and validate a settings file. The caller frees the result with
 * settings_free. On failure returns NULL with error set; the message names the
 * file and, for an invalid setting, the section, the key and the values
 * expected.
 */
struct settings *
settings_load(const char *path, GError **error)
{
	GKeyFile *file = g_key_file_new();
	struct settings *settings = g_new0(struct settings, 1);
	GError *cause = NULL;
	bool valid = false;

	/* Before reading: a later change must be found to be one. */
	settings->file = file_version_read(path);
	if (settings->file.size > FILE_MAX_BYTES) {
		g_set_error(error, SETTINGS_ERROR, SETTINGS_ERROR_READ,
		    "%s: larger than %d bytes", path, FILE_MAX_BYTES);
		goto done;
	}
	if (!g_key_file_load_from_file(file, path, G_KEY_FILE_NONE, &cause)) {
		g_set_error(error, SETTINGS_ERROR,
		    cause->domain == G_KEY_FILE_ERROR ? SETTINGS_ERROR_SYNTAX
						      : SETTINGS_ERROR_READ,
		    "%s: %s", path, cause->message);
		g_error_free(cause);
		goto done;
	}
	if (!sections_check(file, path, error))
		goto done;
	valid = true;
	for (size_t i = 0; valid && i < setting_desc_count; i++)
		valid = setting_load(
		    file, path, &setting_descs[i], settings, error);
done:
	g_key_file_free(file);
	if (!valid) {
		settings_free(settings);
		settings = NULL;
	}
	return settings;
}

/*
 * Free settings and all their strings. NULL is allowed.
 */
void
settings_free(struct settings *settings)
{
	if (settings == NULL)
		return;
	for (size_t i = 0; i < settings->node.seed_count; i++)
		str_release(&settings->node.seeds[i]);
	str_release(&settings->node.host);
	str_release(&settings->node.zone);
	str_release(&settings->node.caller_listen);
	str_release(&settings->node.mesh_listen);
	str_release(&settings->node.operator_listen);
	str_release(&settings->platform.url);
	str_release(&settings->upstream.name);
	str_release(&settings->upstream.address);
	str_release(&settings->upstream.service);
	str_release(&settings->node.metrics_listen);
	g_free(settings);
}
