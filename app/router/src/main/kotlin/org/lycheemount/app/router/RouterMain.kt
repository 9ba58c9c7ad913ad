package org.lycheemount.app.router

import kotlin.system.exitProcess

/** Starts one router process. */
fun main() {
    System.err.println("event=not_implemented")
    exitProcess(2)
}
