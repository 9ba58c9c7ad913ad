package org.lycheemount.claims

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.lycheemount.common.Refusal
import org.lycheemount.common.RequestId
import org.lycheemount.peer.PeerChannel

/** Messages between routers. [view] is the newest row of the partition that the sender knows. */
@Serializable
internal sealed interface ClaimMessage {
    val partition: Int
    val view: PartitionRow?

    /** Asks a member of the pair to decide a claim. [relayed] is true when the secondary forwards it to the primary. */
    @Serializable
    @SerialName("claim")
    data class Claim(
        override val partition: Int,
        override val view: PartitionRow?,
        val request: ClaimRequest,
        val relayed: Boolean = false,
    ) : ClaimMessage

    /** Reports the outcome of a request. */
    @Serializable
    @SerialName("finish")
    class Finish(
        override val partition: Int,
        override val view: PartitionRow?,
        val request: ClaimRequest,
        val outcome: RecordedOutcome,
        val relayed: Boolean = false,
    ) : ClaimMessage

    /** Replicates [record] to the secondary. */
    @Serializable
    @SerialName("replicate")
    class Replicate(
        override val partition: Int,
        override val view: PartitionRow,
        val record: ClaimRecord,
    ) : ClaimMessage

    /** Transfers one of [pages] pages of all records to a new secondary. */
    @Serializable
    @SerialName("sync")
    class Sync(
        override val partition: Int,
        override val view: PartitionRow,
        val transferId: String,
        val page: Int,
        val pages: Int,
        val records: List<ClaimRecord>,
    ) : ClaimMessage

    /** Asks for the newest row of the partition that the receiver knows. */
    @Serializable
    @SerialName("view")
    data class GetView(
        override val partition: Int,
        override val view: PartitionRow?,
    ) : ClaimMessage
}

/** Replies to [ClaimMessage]. */
@Serializable
internal sealed interface ClaimReply {
    /** The request may run. */
    @Serializable
    @SerialName("granted")
    data object Granted : ClaimReply

    /** Another request with the key is running. */
    @Serializable
    @SerialName("running")
    data class Running(
        val holder: RequestId,
    ) : ClaimReply

    /** The request with the key has ended. */
    @Serializable
    @SerialName("finished")
    class Finished(
        val outcome: RecordedOutcome,
    ) : ClaimReply

    /** The claim is refused; other routers would refuse it as well. */
    @Serializable
    @SerialName("refused")
    data class Refused(
        val refusal: Refusal,
    ) : ClaimReply

    /** The message was applied. */
    @Serializable
    @SerialName("done")
    data object Done : ClaimReply

    /** The receiver cannot process the message in its role; [view] is the newest row that it knows. */
    @Serializable
    @SerialName("unable")
    data class Unable(
        val view: PartitionRow?,
    ) : ClaimReply
}

internal val CLAIMS_CHANNEL = PeerChannel("claims")

private val cbor = Cbor { ignoreUnknownKeys = true }

internal fun encodeMessage(message: ClaimMessage): ByteArray = cbor.encodeToByteArray(message)

internal fun encodeReply(reply: ClaimReply): ByteArray = cbor.encodeToByteArray(reply)

/** Returns null for a malformed message. */
internal fun decodeMessage(bytes: ByteArray): ClaimMessage? =
    try {
        cbor.decodeFromByteArray<ClaimMessage>(bytes)
    } catch (failure: SerializationException) {
        null
    } catch (failure: IllegalArgumentException) {
        null
    }

/** Returns null for a malformed reply. */
internal fun decodeReply(bytes: ByteArray): ClaimReply? =
    try {
        cbor.decodeFromByteArray<ClaimReply>(bytes)
    } catch (failure: SerializationException) {
        null
    } catch (failure: IllegalArgumentException) {
        null
    }
