package org.lycheemount.listener

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Announced responses of one connection whose heads have not been sent. Thread-safe. */
internal class AnnouncedResponses {
    private val lastId = AtomicLong()
    private val responses = ConcurrentHashMap<String, CallerResponse>()

    /** Adds [response] and returns its id. */
    fun add(response: CallerResponse): String {
        val id = lastId.incrementAndGet().toString()
        responses[id] = response
        return id
    }

    /** Removes the response with this [id]. */
    fun take(id: String): CallerResponse? = responses.remove(id)

    /** The connection has closed. */
    fun onClosed() = responses.values.forEach { it.onClosed() }
}
