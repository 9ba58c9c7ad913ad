package org.lycheemount.caller

import org.lycheemount.common.RequestId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import java.util.concurrent.atomic.AtomicLong

/** Makes request ids of the form `router.incarnation.number`, so that any router can tell the owner of a request. */
class RequestIdFactory(
    identity: RouterIdentity,
) {
    private val prefix = "${identity.routerId.value}.${identity.incarnation.toString(RADIX)}."
    private val lastNumber = AtomicLong()

    /** Returns an id that no other request of any router has. */
    fun next(): RequestId = RequestId(prefix + lastNumber.incrementAndGet().toString(RADIX))

    /** Parsing of ids. */
    companion object {
        private const val RADIX = 36

        /** Returns the router that made [requestId], or null when it is not of this form. */
        fun ownerOf(requestId: RequestId): RouterId? {
            val withoutNumber = requestId.value.substringBeforeLast('.', "")
            val router = withoutNumber.substringBeforeLast('.', "")
            return if (router.isEmpty()) null else RouterId(router)
        }
    }
}
