package org.lycheemount.common

import kotlinx.coroutines.ExecutorCoroutineDispatcher
import kotlinx.coroutines.asCoroutineDispatcher
import java.util.concurrent.Executors

/**
 * Creates a dispatcher with one daemon thread for a socket selector, which blocks it.
 *
 * A selector on a thread of the coroutine scheduler puts the tasks that it resumes into the queue of that thread and blocks again, so
 * that other threads have to wake up and steal them.
 */
fun createSelectorThread(name: String): ExecutorCoroutineDispatcher =
    Executors.newSingleThreadExecutor { task -> Thread(task, name).apply { isDaemon = true } }.asCoroutineDispatcher()
