package org.lycheemount.app.router

import java.io.IOException

/** A listener of this process cannot be opened, for example because its address is in use. */
internal class ListenerNotOpenedException(
    listener: String,
    address: String,
    cause: IOException,
) : IOException("cannot open the listener for $listener at $address: ${cause.message}", cause)

/** Runs [open], which opens the listener for [listener] at [address]. Throws [ListenerNotOpenedException] if that fails. */
internal inline fun <T> openListener(
    listener: String,
    address: String,
    open: () -> T,
): T =
    try {
        open()
    } catch (failure: IOException) {
        throw ListenerNotOpenedException(listener, address, failure)
    }
