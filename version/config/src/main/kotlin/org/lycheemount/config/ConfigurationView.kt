package org.lycheemount.config

/** Gives the configuration in force in this process. */
fun interface ConfigurationView {
    /** Returns the newest complete snapshot; cheap enough to call for each request. */
    fun current(): ConfigurationSnapshot
}
