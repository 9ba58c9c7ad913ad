package org.lycheemount.stream

/** Output tokens that the request's reservation covers; extended in steps as the answer grows. */
interface OutputReservation {
    /** Output tokens of the whole answer that are reserved now. */
    val reservedOutputTokens: Int

    /** Reserves the next step; false when the caller's own limit is reached or the budget refuses. */
    fun extend(): Boolean
}
