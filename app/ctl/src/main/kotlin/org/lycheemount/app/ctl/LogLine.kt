package org.lycheemount.app.ctl

/**
 * One event line of a router's log.
 *
 * @property source router that wrote the line: the word before its time, or the name of the file if there is none.
 * @property time ISO 8601 timestamp as logged.
 */
internal data class LogLine(
    val source: String,
    val time: String,
    val event: String,
    val fields: Map<String, String>,
) {
    /** Formats the line without level and logger. */
    fun format(): String = "$time $source $event" + fields.entries.joinToString("") { (key, value) -> " $key=$value" }
}

/** Parses [text]. Returns null for lines that are not events, such as stack traces. */
internal fun parseLogLine(
    text: String,
    fileSource: String,
): LogLine? {
    val start = text.indexOf("time=").takeIf { it >= 0 } ?: return null
    val fields = parseFields(text.substring(start))
    val event = fields["event"] ?: return null
    // A log collector may prepend its own timestamp and the name of the process.
    val prefix = text.substring(0, start).trim().substringAfterLast(' ')
    return LogLine(prefix.ifEmpty { fileSource }, fields.getValue("time"), event, fields - COMMON_FIELDS)
}

private fun parseFields(text: String): Map<String, String> =
    FIELD.findAll(text).associate { match ->
        val (key, quoted, plain) = match.destructured
        key to if (quoted.isEmpty()) plain else unescape(quoted)
    }

private fun unescape(quoted: String) =
    ESCAPE.replace(quoted) { match ->
        when (val escaped = match.groupValues[1]) {
            "n" -> "\n"
            "r" -> "\r"
            else -> escaped
        }
    }

private val FIELD = Regex("""([A-Za-z_]+)=(?:"((?:[^"\\]|\\.)*)"|(\S*))""")
private val ESCAPE = Regex("""\\(.)""")
private val COMMON_FIELDS = setOf("time", "level", "logger", "event")
