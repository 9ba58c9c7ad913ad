package org.lycheemount.common

import io.github.oshai.kotlinlogging.KotlinLogging

/** Event log based on kotlin-logging. */
class DefaultEventLog(
    component: String,
) : EventLog {
    private val logger = KotlinLogging.logger("org.lycheemount.$component")

    override fun info(
        event: String,
        vararg fields: Pair<String, Any?>,
    ) = logger.info { formatEventLine(event, fields) }

    override fun warn(
        event: String,
        vararg fields: Pair<String, Any?>,
    ) = logger.warn { formatEventLine(event, fields) }
}

internal fun formatEventLine(
    event: String,
    fields: Array<out Pair<String, Any?>>,
): String =
    buildString {
        append("event=").append(event)
        for ((key, value) in fields) append(' ').append(key).append('=').append(quoteIfNeeded(value.toString()))
    }

private fun quoteIfNeeded(value: String): String {
    if (value.isNotEmpty() && value.none { it.isWhitespace() || it == '"' || it == '=' || it.isISOControl() }) return value
    val escaped =
        value
            .replace("\\", "\\\\")
            .replace("\"", "\\\"")
            .replace("\n", "\\n")
            .replace("\r", "\\r")
    return "\"$escaped\""
}
