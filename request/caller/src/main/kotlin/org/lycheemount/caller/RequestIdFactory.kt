package org.lycheemount.caller

import org.lycheemount.common.RequestId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import java.util.concurrent.atomic.AtomicLong

/** Generates request ids of the form `router.incarnation.number`, from which any router can determine the owner of a request. */
class RequestIdFactory(
    identity: RouterIdentity,
) {
    private val prefix = "${identity.routerId.value}.${identity.incarnation.toString(RADIX)}."
    private val lastNumber = AtomicLong()

    /** Returns an id that is unique across all routers. */
    fun next(): RequestId = RequestId(prefix + lastNumber.incrementAndGet().toString(RADIX))

    /** Parsing of ids. */
    companion object {
        private const val RADIX = 36

        /** Returns the router that generated [requestId], or null if it does not have this form. */
        fun ownerOf(requestId: RequestId): RouterId? {
            val withoutNumber = requestId.value.substringBeforeLast('.', "")
            val router = withoutNumber.substringBeforeLast('.', "")
            return if (router.isEmpty()) null else RouterId(router)
        }
    }
}
