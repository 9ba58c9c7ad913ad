package org.lycheemount.standin.enginemodel

import java.util.PriorityQueue

/** Queue of actions ordered by due time; actions due at the same time run in insertion order. */
internal class ScheduledActions {
    private class Entry(
        val atUs: Long,
        val order: Long,
        val action: () -> Unit,
    )

    private val entries = PriorityQueue<Entry>(compareBy({ it.atUs }, { it.order }))
    private var nextOrder = 0L

    fun nextActionUs(): Long? = entries.peek()?.atUs

    fun add(
        atUs: Long,
        action: () -> Unit,
    ) {
        entries += Entry(atUs, nextOrder++, action)
    }

    fun runNext() = entries.remove().action()
}
