package org.lycheemount.listener

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpHeadersFactory

/** Creates trailers that are counted, but not kept: nothing reads them, and they are decoded before their end has arrived. */
internal object DiscardedTrailers : HttpHeadersFactory {
    override fun newHeaders(): HttpHeaders = CountedHeaders()

    override fun newEmptyHeaders(): HttpHeaders = CountedHeaders()

    private class CountedHeaders : DefaultHttpHeaders() {
        private var count = 0

        override fun add(
            name: CharSequence,
            value: Any,
        ): HttpHeaders = also { count++ }

        override fun size(): Int = count
    }
}
