package org.lycheemount.stream

/** Output tokens covered by the request's reservation, which is extended in steps as the completion grows. */
interface OutputReservation {
    /** Output tokens reserved so far, counted from the start of the completion. */
    val reservedOutputTokens: Int

    /** Reserves the next step; returns false when the request's token limit is reached or the budget refuses. */
    fun extend(): Boolean
}
