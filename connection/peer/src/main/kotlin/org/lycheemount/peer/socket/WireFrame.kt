package org.lycheemount.peer.socket

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.Cbor
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity

/** What travels in one frame of a link. */
@Serializable
internal sealed interface WireFrame {
    /** First frame of the dialing side. */
    @Serializable
    @SerialName("hello")
    class Hello(
        val protocolVersion: Int,
        val from: RouterIdentity,
        val to: RouterId,
        @ByteString val nonce: ByteArray,
    ) : WireFrame

    /** Answer of the accepting side: its own challenge and the proof that it knows the secret. */
    @Serializable
    @SerialName("challenge")
    class Challenge(
        val protocolVersion: Int,
        val from: RouterIdentity,
        @ByteString val nonce: ByteArray,
        @ByteString val proof: ByteArray,
    ) : WireFrame

    /** Proof of the dialing side. */
    @Serializable
    @SerialName("proof")
    class Proof(
        @ByteString val proof: ByteArray,
    ) : WireFrame

    /** The accepting side has taken the link into use. */
    @Serializable
    @SerialName("ready")
    data object Ready : WireFrame

    @Serializable
    @SerialName("c")
    class Call(
        @SerialName("i") val callId: Long,
        @SerialName("c") val channel: String,
        @SerialName("p") @ByteString val payload: ByteArray,
    ) : WireFrame

    @Serializable
    @SerialName("a")
    class Answer(
        @SerialName("i") val callId: Long,
        @SerialName("p") @ByteString val payload: ByteArray,
    ) : WireFrame

    /** The call was not handled: no handler for its channel, or too many calls in progress. */
    @Serializable
    @SerialName("r")
    class Rejected(
        @SerialName("i") val callId: Long,
    ) : WireFrame

    @Serializable
    @SerialName("m")
    class Message(
        @SerialName("c") val channel: String,
        @SerialName("p") @ByteString val payload: ByteArray,
    ) : WireFrame

    @Serializable
    @SerialName("k")
    data object KeepAlive : WireFrame
}

private val cbor = Cbor { ignoreUnknownKeys = true }

internal fun encodeFrame(frame: WireFrame): ByteArray = cbor.encodeToByteArray(WireFrame.serializer(), frame)

/** Decodes a frame; throws [LinkFailure] for anything that is not one. */
internal fun decodeFrame(bytes: ByteArray): WireFrame =
    try {
        cbor.decodeFromByteArray(WireFrame.serializer(), bytes)
    } catch (malformed: Exception) {
        throw LinkFailure("malformed frame of ${bytes.size} bytes", malformed)
    }

internal fun encodeIdentity(identity: RouterIdentity): ByteArray = cbor.encodeToByteArray(RouterIdentity.serializer(), identity)
