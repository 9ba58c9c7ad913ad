package org.lycheemount.standin.enginemodel

import java.util.PriorityQueue

/** Changes that are due at later times. */
internal class TimedChanges {
    private class Change(
        val atUs: Long,
        val order: Long,
        val action: () -> Unit,
    )

    private val changes = PriorityQueue<Change>(compareBy({ it.atUs }, { it.order }))
    private var added = 0L

    fun nextUs(): Long? = changes.peek()?.atUs

    fun add(
        atUs: Long,
        action: () -> Unit,
    ) {
        changes += Change(atUs, added++, action)
    }

    fun runNext() = changes.remove().action()
}
