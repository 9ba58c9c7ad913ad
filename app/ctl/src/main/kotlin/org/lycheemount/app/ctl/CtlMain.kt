package org.lycheemount.app.ctl

import kotlin.system.exitProcess

/** Starts the operators' command line. */
fun main() {
    System.err.println("event=not_implemented")
    exitProcess(2)
}
