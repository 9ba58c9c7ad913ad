package org.lycheemount.platform.http

import okhttp3.OkHttpClient
import org.lycheemount.common.ConnectFailedException
import java.io.IOException

/** Lets a call fail with a [ConnectFailedException] if it got no connection, whatever the reason. */
internal fun OkHttpClient.Builder.reportConnectFailures(): OkHttpClient.Builder =
    addInterceptor { chain ->
        val state = ConnectionState()
        val request =
            chain
                .request()
                .newBuilder()
                .tag(ConnectionState::class.java, state)
                .build()
        try {
            chain.proceed(request)
        } catch (failure: IOException) {
            throw if (state.isConnected) failure else ConnectFailedException(failure.message ?: failure.javaClass.simpleName, failure)
        }
    }.addNetworkInterceptor { chain ->
        // Network interceptors run once there is a connection.
        chain.request().tag(ConnectionState::class.java)?.isConnected = true
        chain.proceed(chain.request())
    }

/** Whether the call that has this tag has got a connection. */
private class ConnectionState {
    @Volatile
    var isConnected = false
}
