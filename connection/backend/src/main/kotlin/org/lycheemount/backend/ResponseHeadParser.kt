package org.lycheemount.backend

import java.io.IOException

/**
 * Parses the [lines] of a response head, without the empty one at its end. Throws [IOException] if it is malformed.
 *
 * Ktor's parser is not used, since it rejects lines of more than 8,192 characters.
 */
internal fun parseResponseHead(lines: List<String>): ResponseHead {
    val status = parseStatus(lines.firstOrNull().orEmpty()) ?: throw IOException("the server sent no valid status line")
    return ResponseHead(status, lines.drop(1).map(::parseHeader))
}

/** Returns the status in [line], or null if that is no status line. */
internal fun parseStatus(line: String): Int? =
    STATUS_LINE
        .find(line)
        ?.groupValues
        ?.get(1)
        ?.toInt()

private fun parseHeader(line: String): Pair<String, String> {
    val name = line.substringBefore(':', missingDelimiterValue = "")
    if (name.isEmpty() || !name.all(::isAllowedInName)) throw IOException("the server sent a malformed header")
    return name to line.substring(name.length + 1).trim(' ', '\t')
}

private fun isAllowedInName(character: Char) = character > ' ' && character != DELETE && character !in NAME_DELIMITERS

// A status has three digits and does not begin with 0.
private val STATUS_LINE = Regex("^HTTP/1\\.[01][ \\t]+([1-5][0-9][0-9])(?:[ \\t]|$)")
private const val DELETE = '\u007f'
private const val NAME_DELIMITERS = "\"(),/:;<=>?@[\\]{}"
