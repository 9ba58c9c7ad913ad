package org.lycheemount.settings

/**
 * A validation error in the settings.
 *
 * @property field path of the field, such as `callers.port`.
 * @property found value in the file.
 * @property accepted description of the valid values.
 */
data class SettingsError(
    val field: String,
    val found: String,
    val accepted: String,
)
