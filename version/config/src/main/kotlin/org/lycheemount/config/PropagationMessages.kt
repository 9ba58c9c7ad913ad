package org.lycheemount.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import org.lycheemount.peer.PeerChannel

internal val pushChannel = PeerChannel("config.push")
internal val pullChannel = PeerChannel("config.pull")

internal val wireCbor = Cbor { ignoreUnknownKeys = true }

/** A pushed change, as the JSON text of its row. */
@Serializable
internal data class PushMessage(
    val change: String,
)

/**
 * Requests the changes after [afterSequence], or the page of items after [afterKey].
 *
 * @property fullState true requests pages of items instead of changes.
 */
@Serializable
internal data class PullRequest(
    val afterSequence: Long,
    @SerialName("wholeState")
    val fullState: Boolean,
    val afterKey: ItemKey? = null,
)

/**
 * Response to a [PullRequest]: changes in order or a page of items, both as JSON texts.
 *
 * @property isLoaded false if the responding router has no configuration.
 * @property hasMore true if another page follows.
 */
@Serializable
internal data class PullResponse(
    @SerialName("loaded")
    val isLoaded: Boolean,
    val sequence: Long = 0,
    val changeId: String = "",
    val changes: List<String>? = null,
    val items: List<String> = emptyList(),
    @SerialName("more")
    val hasMore: Boolean = false,
)
