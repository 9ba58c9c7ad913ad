package org.lycheemount.standin

import io.ktor.http.HttpStatusCode
import io.ktor.server.response.respond
import io.ktor.server.routing.post
import io.ktor.server.routing.routing

/** A backend server that its process can kill and restart. */
internal class Killable(
    val die: () -> Unit,
    val restart: () -> Unit,
)

/** Starts the listener that kills and restarts the backend servers of a process. */
internal fun startBackendControl(
    host: String,
    port: Int,
    servers: Map<String, Killable>,
): RestartableServer {
    val control =
        RestartableServer(host, port) {
            routing {
                for ((action, run) in listOf<Pair<String, (Killable) -> Unit>>("die" to { it.die() }, "restart" to { it.restart() })) {
                    post("/$action/{id}") {
                        val server = servers[call.parameters["id"]]
                        server?.let(run)
                        call.respond(if (server == null) HttpStatusCode.NotFound else HttpStatusCode.OK)
                    }
                }
            }
        }
    control.start()
    return control
}
