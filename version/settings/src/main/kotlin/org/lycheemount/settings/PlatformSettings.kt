package org.lycheemount.settings

import kotlinx.serialization.Serializable

/** Base URLs and timeouts of the platform's services. */
@Serializable
data class PlatformSettings(
    val tableUrl: String,
    val objectStoreUrl: String,
    val vmListUrl: String,
    val weightStoreUrl: String,
    val callTimeoutMs: Long = 2_000,
)
