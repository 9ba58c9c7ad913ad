package org.lycheemount.caller.routed

/**
 * Reads the numbers of tokens that a caller states about one request, before anything is computed from them. A number that is missing or
 * unreadable counts as not stated; one outside of [ACCEPTED] is a [violation]. Not thread-safe.
 */
class StatedTokens {
    /** Names the field of the first number that is out of range, and the accepted range; null if there is none. */
    var violation: String? = null
        private set

    /** Returns the number that [text] states in the field [field], or null if it states none that is accepted. */
    fun read(
        field: String,
        text: String?,
    ): Int? = numberIn(text.orEmpty().trim())?.takeIf { isAccepted(field, it) }?.toInt()

    /** Whether [tokens] are accepted in the field [field]. */
    fun isAccepted(
        field: String,
        tokens: Long,
    ): Boolean {
        if (tokens in ACCEPTED) return true
        if (violation == null) violation = "$field: numbers of tokens must be from ${ACCEPTED.first} to ${ACCEPTED.last}, also in total"
        return false
    }

    /** Returns the greatest or smallest value for a number of more digits than it has. */
    private fun numberIn(text: String): Long? {
        text.toLongOrNull()?.let { return it }
        val digits = text.removePrefix("-")
        if (digits.isEmpty() || digits.any { it !in '0'..'9' }) return null
        return if (text.startsWith('-')) Long.MIN_VALUE else Long.MAX_VALUE
    }

    /** Limits on stated numbers. */
    companion object {
        /** Many times what the memory of a model engine holds. */
        val ACCEPTED: LongRange = 0L..16_777_216L
    }
}
