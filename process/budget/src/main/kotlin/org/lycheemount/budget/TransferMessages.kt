package org.lycheemount.budget

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import org.lycheemount.common.BudgetId
import org.lycheemount.peer.PeerChannel

internal val TOKENS_CHANNEL = PeerChannel("budget.tokens")

/** Messages between routers about tokens. */
@Serializable
internal sealed interface TokenMessage {
    /**
     * Asks for tokens.
     *
     * @property shortfallTokens tokens that a waiting request lacks; 0 when the sender only foresees a need.
     * @property plannedTokens tokens that the sender would like beyond that.
     */
    @Serializable
    @SerialName("needed")
    data class TokenRequest(
        val budgetId: BudgetId,
        @SerialName("lackingTokens") val shortfallTokens: Long,
        val plannedTokens: Long,
    ) : TokenMessage

    /**
     * Hands tokens over; repeated until answered.
     *
     * @property sequence number of the transfer within the sending process.
     * @property lowestOpenSequence every earlier transfer to the same receiver has been answered.
     * @property receiverIncarnation process that the transfer is meant for; no other applies it.
     */
    @Serializable
    @SerialName("transfer")
    data class Transfer(
        val sequence: Long,
        val lowestOpenSequence: Long,
        val budgetId: BudgetId,
        val tokens: Long,
        val receiverIncarnation: Long,
    ) : TokenMessage
}

/** Answer to a [TokenMessage.TokenRequest]: tokens that are on their way, and free tokens that the sender keeps. */
@Serializable
internal data class TokenRequestAnswer(
    val sentTokens: Long,
    val keptTokens: Long,
)

@Serializable
internal enum class TransferAnswer {
    APPLIED,

    /** Not applied and never will be. */
    REFUSED,

    /** Not applied now; a repetition may be. */
    LATER,

    /** Meant for an earlier process of the receiver, which may have applied it. */
    OTHER_INCARNATION,
}

internal val peerCbor = Cbor { ignoreUnknownKeys = true }

/** Null for a message that is not of the form [T]; such a message must not stop the background work. */
internal inline fun <reified T> decodePeerMessage(payload: ByteArray): T? =
    try {
        peerCbor.decodeFromByteArray<T>(payload)
    } catch (_: SerializationException) {
        null
    }
