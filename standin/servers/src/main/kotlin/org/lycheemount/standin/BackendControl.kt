package org.lycheemount.standin

import io.ktor.http.HttpStatusCode
import io.ktor.server.response.respond
import io.ktor.server.routing.post
import io.ktor.server.routing.routing

/** Backend server whose crash and restart can be triggered from within its process. */
internal class RestartableBackend(
    val crash: () -> Unit,
    val restart: () -> Unit,
)

/** Starts the HTTP listener that crashes and restarts the backend servers of this process, by id. */
internal fun startBackendControl(
    host: String,
    port: Int,
    servers: Map<String, RestartableBackend>,
): RestartableServer {
    val control =
        RestartableServer(host, port) {
            routing {
                val actions = listOf<Pair<String, (RestartableBackend) -> Unit>>("die" to { it.crash() }, "restart" to { it.restart() })
                for ((name, action) in actions) {
                    post("/$name/{id}") {
                        val server = servers[call.parameters["id"]]
                        server?.let(action)
                        call.respond(if (server == null) HttpStatusCode.NotFound else HttpStatusCode.OK)
                    }
                }
            }
        }
    control.start()
    return control
}
