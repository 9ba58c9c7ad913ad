package org.lycheemount.standin

import kotlin.system.exitProcess

/** Starts the stand-ins. */
fun main() {
    System.err.println("event=not_implemented")
    exitProcess(2)
}
