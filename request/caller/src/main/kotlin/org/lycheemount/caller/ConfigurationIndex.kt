package org.lycheemount.caller

import org.lycheemount.config.ConfigurationSnapshot
import org.lycheemount.config.ConfigurationView

/**
 * Value that is derived from the active configuration, once for each version. Thread-safe.
 *
 * @param derive called for each version that is used, in ascending order.
 */
internal class ConfigurationIndex<T>(
    private val configuration: ConfigurationView,
    private val derive: (ConfigurationSnapshot) -> T,
) {
    private class Derived<T>(
        val snapshot: ConfigurationSnapshot,
        val value: T,
    )

    @Volatile
    private var latest = configuration.current().let { Derived(it, derive(it)) }

    /** Returns the value of a configuration that was active during this call. */
    fun current(): T {
        val known = latest
        return if (known.snapshot === configuration.current()) known.value else replace()
    }

    /** Reads the configuration again under the lock, so that a slower thread does not put an older value back. */
    @Synchronized
    private fun replace(): T {
        val snapshot = configuration.current()
        if (latest.snapshot !== snapshot) latest = Derived(snapshot, derive(snapshot))
        return latest.value
    }
}
