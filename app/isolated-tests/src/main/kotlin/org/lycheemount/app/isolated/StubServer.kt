package org.lycheemount.app.isolated

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.receiveChannel
import io.ktor.server.response.header
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.discard
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.lycheemount.platform.adapter.testing.REQUEST_ID_HEADER
import org.lycheemount.platform.adapter.testing.SIGNATURE_HEADER
import java.util.concurrent.atomic.AtomicLong

/** Backend server that reads each body to its end and responds by the path of the request. */
class StubServer : AutoCloseable {
    private val sentParts = AtomicLong()
    private val requests = AtomicLong()

    /** Number of parts of events and bodies without end that have been sent. */
    val sentPartCount: Long get() = sentParts.get()

    /** Number of requests whose bodies have been read. */
    val requestCount: Long get() = requests.get()

    private val server =
        embeddedServer(CIO, configure = {
            connector {
                host = "127.0.0.1"
                port = 0
            }
        }) {
            routing {
                route("/plain/") { handle { respond(call) { call.respondText("done") } } }
                route("/added/") { handle { respond(call) { call.respondText("done") } } }
                route("/working/") {
                    handle {
                        respond(call) {
                            delay(WORK_MS)
                            call.respondText("done")
                        }
                    }
                }
                route("/events/") { handle { respond(call) { stream(call) { writeEvents(EVENT_INTERVAL_MS) } } } }
                route("/flood/") { handle { respond(call) { stream(call) { writeEvents(intervalMs = 0) } } } }
                route("/unending-event/") { handle { respond(call) { stream(call) { writeUnendingEvent() } } } }
                route("/unending-failure/") { handle { respond(call) { failWithoutEnd(call) } } }
                route("/large/") { handle { respond(call) { call.respondBytes(ByteArray(LARGE_RESPONSE_BYTES)) } } }
            }
        }.start(wait = false)

    /** IP address and port of the listener. */
    val address: String = runBlocking { "127.0.0.1:${server.engine.resolvedConnectors().first().port}" }

    private suspend fun respond(
        call: ApplicationCall,
        respondNormally: suspend () -> Unit,
    ) {
        call.receiveChannel().discard()
        requests.incrementAndGet()
        call.response.header(REQUEST_ID_HEADER, call.request.headers[REQUEST_ID_HEADER].orEmpty())
        call.response.header(SIGNATURE_HEADER, "signature")
        respondNormally()
    }

    private suspend fun stream(
        call: ApplicationCall,
        write: suspend ByteWriteChannel.() -> Unit,
    ) = call.respondBytesWriter(ContentType.Text.EventStream, producer = write)

    private suspend fun failWithoutEnd(call: ApplicationCall) =
        call.respondBytesWriter(ContentType.Text.Plain, HttpStatusCode.InternalServerError) {
            val bytes = ByteArray(PART_BYTES)
            while (true) {
                writeFully(bytes)
                flush()
                sentParts.incrementAndGet()
            }
        }

    private suspend fun ByteWriteChannel.writeEvents(intervalMs: Long) {
        var eventId = 0
        while (true) {
            writeStringUtf8("id: ${++eventId}\ndata: ${"e".repeat(EVENT_BYTES)}\n\n")
            flush()
            delay(intervalMs)
        }
    }

    private suspend fun ByteWriteChannel.writeUnendingEvent() {
        writeStringUtf8("id: 1\ndata: e\n\nid: 2\ndata: ")
        val bytes = ByteArray(PART_BYTES) { 'e'.code.toByte() }
        repeat(UNENDING_EVENT_BYTES / PART_BYTES) {
            writeFully(bytes)
            flush()
            sentParts.incrementAndGet()
        }
        // The connection stays open, as that of a server that is still sending.
        delay(Long.MAX_VALUE)
    }

    override fun close() = server.stop(0, 0)

    private companion object {
        // Long enough that all callers of a test have sent their bodies before the first response.
        private const val WORK_MS = 2_000L
        private const val EVENT_INTERVAL_MS = 50L
        private const val EVENT_BYTES = 1_000
        private const val PART_BYTES = 16_384

        // Just below the size at which the router breaks off an event, so that it holds all streams at once.
        private const val UNENDING_EVENT_BYTES = 1_000_000

        // Just below the size up to which the router buffers a response.
        private const val LARGE_RESPONSE_BYTES = 250_000
    }
}
