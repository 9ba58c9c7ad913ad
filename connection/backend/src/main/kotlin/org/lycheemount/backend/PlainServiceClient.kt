package org.lycheemount.backend

import org.lycheemount.common.BackendServer

/** Calls plain services over HTTP. */
interface PlainServiceClient {
    /** Passes [call] on to [server] once, without any retry. */
    suspend fun call(
        server: BackendServer,
        call: ServiceCall,
    ): ServiceCallOutcome

    /** Returns the server's load from `GET /__load`, or null when it gave no answer. */
    suspend fun load(server: BackendServer): EngineLoad?
}
