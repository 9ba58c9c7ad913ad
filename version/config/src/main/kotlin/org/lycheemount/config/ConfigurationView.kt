package org.lycheemount.config

/** Provides the active configuration of this process. */
fun interface ConfigurationView {
    /** Returns the newest complete snapshot. Inexpensive enough to be called for each request. */
    fun current(): ConfigurationSnapshot
}
