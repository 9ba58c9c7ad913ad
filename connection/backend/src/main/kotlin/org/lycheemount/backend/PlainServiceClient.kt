package org.lycheemount.backend

import org.lycheemount.common.BackendServer

/** Calls plain services over HTTP. */
interface PlainServiceClient {
    /** Sends [call] to [server] without retries. */
    suspend fun call(
        server: BackendServer,
        call: ServiceCall,
    ): ServiceCallOutcome

    /** Returns the server's load from `GET /__load`, or null if it did not respond. */
    suspend fun load(server: BackendServer): EngineLoad?
}
