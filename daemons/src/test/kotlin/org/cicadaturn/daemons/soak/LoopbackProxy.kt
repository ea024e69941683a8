package org.cicadaturn.daemons.soak

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.launch
import org.cicadaturn.daemons.site.LoopbackServer
import org.cicadaturn.daemons.site.closeOnCancel
import org.cicadaturn.daemons.site.reset
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import kotlin.time.Duration

/**
 * What a proxy does with connections and bytes.
 *
 * @property accepts false if each new connection is reset
 * @property forwards false if bytes wait in the proxy
 * @property delay time that each piece of bytes takes
 */
internal data class Passage(
    val accepts: Boolean = true,
    val forwards: Boolean = true,
    val delay: Duration = Duration.ZERO,
)

/** Proxy on loopback between the gateways and an endpoint or the store. */
internal class LoopbackProxy(
    scope: CoroutineScope,
) {
    private val passage = MutableStateFlow(Passage())
    private val silences = MutableStateFlow(0)
    private val upstream = MutableStateFlow<InetSocketAddress?>(null)
    private val server = LoopbackServer(scope, ::serve)

    /** Starts to forward to [address]; returns the address of the proxy. */
    fun start(address: String): String {
        upstream.value = InetSocketAddress(address.substringBefore(':'), address.substringAfter(':').toInt())
        server.start()
        return server.address
    }

    fun pass(next: Passage) {
        passage.value = next
    }

    /** Keeps the present connections open on both sides, but forwards nothing on them from now on. */
    fun silence() = silences.update { it + 1 }

    /** Closes all connections. */
    fun cut() = server.cutAll()

    private suspend fun serve(accepted: Socket) {
        if (!passage.value.accepts) return accepted.reset()
        passage.first { it.forwards }
        val connected = Socket().apply { tcpNoDelay = true }
        closeOnCancel(connected) {
            connected.connect(upstream.first { it != null })
            val silence = silences.value
            coroutineScope {
                launch { forward(accepted, connected, silence) }
                launch { forward(connected, accepted, silence) }
            }
            connected.close()
        }
    }

    private suspend fun forward(
        from: Socket,
        to: Socket,
        silence: Int,
    ) {
        try {
            val buffer = ByteArray(BUFFER_BYTES)
            while (true) {
                val count = from.getInputStream().read(buffer)
                waitForPassage(silence)
                if (count < 0) return to.shutdownOutput()
                to.getOutputStream().write(buffer, 0, count)
            }
        } catch (e: IOException) {
            waitForPassage(silence)
            from.reset()
            to.reset()
        }
    }

    /** Waits until bytes may pass; does not return on a connection that has been silenced. */
    private suspend fun waitForPassage(silence: Int) {
        delay(passage.first { it.forwards }.delay)
        if (silences.value != silence) awaitCancellation()
    }

    private companion object {
        const val BUFFER_BYTES = 16_384
    }
}
