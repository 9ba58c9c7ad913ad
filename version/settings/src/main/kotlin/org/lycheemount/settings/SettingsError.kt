package org.lycheemount.settings

/**
 * One fault of the settings.
 *
 * @property field path of the field, such as `callers.port`.
 * @property found what the file has there.
 * @property accepted values that would be valid.
 */
data class SettingsError(
    val field: String,
    val found: String,
    val accepted: String,
)
