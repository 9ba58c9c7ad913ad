package org.lycheemount.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import org.lycheemount.peer.PeerChannel

internal val pushChannel = PeerChannel("config.push")
internal val pullChannel = PeerChannel("config.pull")

internal val wireCbor = Cbor { ignoreUnknownKeys = true }

/** Carries one change as the JSON text of its row. */
@Serializable
internal data class PushMessage(
    val change: String,
)

/**
 * Asks for what follows [afterSequence], or for the page of items after [afterKey].
 *
 * @property fullState true asks for pages of items.
 */
@Serializable
internal data class PullRequest(
    val afterSequence: Long,
    @SerialName("wholeState")
    val fullState: Boolean,
    val afterKey: ItemKey? = null,
)

/**
 * Answers a [PullRequest] with changes in order or with a page of items, both as JSON texts.
 *
 * @property isLoaded false when the answering router has no configuration itself.
 * @property hasMore true when another page follows.
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
