package org.lycheemount.caller

import kotlinx.serialization.json.Json
import org.lycheemount.backend.CancelResponse
import org.lycheemount.backend.EngineChunk
import org.lycheemount.backend.GenerateRequest
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.BackendTarget
import org.lycheemount.common.ModelId
import org.lycheemount.common.RequestId
import org.lycheemount.common.ServiceId
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread

/** One step of a scripted answer. */
internal sealed interface ScriptStep {
    /** Sends the tokens [from] until [until] of the answer. */
    data class Send(
        val from: Int,
        val until: Int,
    ) : ScriptStep

    /** Ends the answer in order. */
    data class Finish(
        val reason: String,
    ) : ScriptStep

    /** Closes the connection without an end, as a dying engine does. */
    data object Die : ScriptStep

    /** Waits until the generation is cancelled, then ends it. */
    data object AwaitCancel : ScriptStep

    /** Waits until the test opens the gate with [ScriptedEngine.openGate]. */
    data object AwaitGate : ScriptStep
}

/**
 * Backend server over a real socket that follows [script] for each generation. Token `i` of any answer is `ti `, so that
 * gaps and repeats show. A generation holds its slot until it has ended or is cancelled, whether or not its connection lives.
 *
 * It writes to the socket itself, because a server library may keep the connection open when a handler fails.
 */
internal class ScriptedEngine(
    private val name: String,
    private val script: (GenerateRequest) -> List<ScriptStep>,
) : AutoCloseable {
    private val cancelled = ConcurrentHashMap<RequestId, CountDownLatch>()
    private val listener = ServerSocket(0, 64, InetAddress.getLoopbackAddress())
    private val gateLatch = CountDownLatch(1)
    val requests = CopyOnWriteArrayList<GenerateRequest>()
    val cancels = CopyOnWriteArrayList<RequestId>()
    val serviceCalls = CopyOnWriteArrayList<String>()
    val heldSlots: MutableSet<RequestId> = ConcurrentHashMap.newKeySet()

    /** Answer to service calls; null closes the connection after the call has run. */
    @Volatile
    var serviceAnswer: String? = "done"

    init {
        thread(isDaemon = true, name = name) {
            while (!listener.isClosed) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: break
                thread(isDaemon = true) { socket.use { runCatching { serve(it) } } }
            }
        }
    }

    fun describe() =
        BackendServer(
            BackendServerId(name),
            VmId("vm-$name"),
            ZoneId("z1"),
            "127.0.0.1",
            listener.localPort,
            setOf(BackendTarget.Model(ModelId("m1")), BackendTarget.Service(ServiceId("s1"))),
        )

    fun openGate() = gateLatch.countDown()

    override fun close() = listener.close()

    private fun serve(socket: Socket) {
        val input = socket.getInputStream().buffered()
        val (method, path) = readLine(input).split(' ')
        val headers = generateSequence { readLine(input).takeIf { it.isNotEmpty() } }.toList()
        val length =
            headers
                .firstOrNull { it.startsWith("content-length", ignoreCase = true) }
                ?.substringAfter(':')
                ?.trim()
                ?.toInt() ?: 0
        val body = input.readNBytes(length).decodeToString()
        when (path) {
            "/v1/generate" -> generate(Json.decodeFromString(body), socket)
            "/v1/cancel" -> cancel(body, socket)
            else -> serviceCall("$method $path $body".trim(), socket)
        }
    }

    private fun readLine(input: InputStream): String =
        buildString {
            while (true) {
                val byte = input.read()
                if (byte < 0 || byte == '\n'.code) break
                if (byte != '\r'.code) append(byte.toChar())
            }
        }

    private fun generate(
        request: GenerateRequest,
        socket: Socket,
    ) {
        requests += request
        heldSlots += request.requestId
        val out = socket.getOutputStream()
        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n".encodeToByteArray())
        for (step in script(request)) {
            when (step) {
                is ScriptStep.Send -> out.chunk(EngineChunk(request.requestId, step.from, (step.from until step.until).map { "t$it " }))
                is ScriptStep.Finish -> out.chunk(EngineChunk(request.requestId, lastToken(request), finishReason = step.reason))
                ScriptStep.AwaitGate -> gateLatch.await()
                ScriptStep.AwaitCancel -> latchOf(request.requestId).await()
                ScriptStep.Die -> return
            }
        }
        heldSlots -= request.requestId
        out.write("0\r\n\r\n".encodeToByteArray())
    }

    private fun OutputStream.chunk(chunk: EngineChunk) {
        val line = Json.encodeToString(chunk) + "\n"
        write("${line.length.toString(radix = 16)}\r\n$line\r\n".encodeToByteArray())
    }

    private fun cancel(
        body: String,
        socket: Socket,
    ) {
        val requestId = Regex("\"requestId\":\"([^\"]+)\"").find(body)!!.groupValues[1].let(::RequestId)
        cancels += requestId
        val found = heldSlots.remove(requestId)
        latchOf(requestId).countDown()
        socket.answer(Json.encodeToString(CancelResponse(found, lastToken(requests.last { it.requestId == requestId }))))
    }

    private fun serviceCall(
        call: String,
        socket: Socket,
    ) {
        serviceCalls += call
        serviceAnswer?.let { socket.answer(it) }
    }

    private fun Socket.answer(text: String) =
        getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: ${text.length}\r\nConnection: close\r\n\r\n$text".encodeToByteArray())

    private fun lastToken(request: GenerateRequest) = script(request).filterIsInstance<ScriptStep.Send>().maxOfOrNull { it.until } ?: 0

    private fun latchOf(requestId: RequestId) = cancelled.computeIfAbsent(requestId) { CountDownLatch(1) }
}
