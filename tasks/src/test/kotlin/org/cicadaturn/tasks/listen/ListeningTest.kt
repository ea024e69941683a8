package org.cicadaturn.tasks.listen

import io.netty.channel.ChannelException
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import org.cicadaturn.schema.generated.NetworkAddress
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.IOException
import java.net.BindException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.SocketException
import java.nio.channels.ServerSocketChannel
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ListeningTest {
    private val address = NetworkAddress("127.0.0.1", 8227)

    private fun errorOfBind(to: InetSocketAddress): ListenError? =
        ServerSocketChannel.open().use { channel ->
            listenErrorOf(runCatching { channel.bind(to) }.exceptionOrNull()!!)
        }

    /** Guards against an error of the system that is taken for a wrong setting, or the other way round. */
    @Test
    fun `errors of real sockets are told apart`() {
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { holder ->
            assertEquals(ListenError.AddressInUse, errorOfBind(InetSocketAddress("127.0.0.1", holder.localPort)))
        }
        // An address for documentation, which no machine has.
        assertEquals(ListenError.AddressAbsent, errorOfBind(InetSocketAddress("192.0.2.1", 0)))
        val unresolved = errorOfBind(InetSocketAddress.createUnresolved("no-host.invalid", 1))
        assertInstanceOf(ListenError.InvalidAddress::class.java, unresolved)
    }

    /** Guards against a wait for a cause that does not pass, and an end for one that does. */
    @Test
    fun `errors that cannot be provoked here are told apart by their text`() {
        val descriptors = ChannelException("Failed to open a socket.", IOException("Too many open files"))
        assertEquals(ListenError.NoDescriptor, listenErrorOf(descriptors))
        assertEquals(ListenError.NotPermitted, listenErrorOf(BindException("Permission denied")))
        assertEquals(false, ListenError.NotPermitted.isTransient)
        val unknown = listenErrorOf(SocketException("Kein Speicher"))
        assertEquals(true, unknown?.isTransient, "an unknown text is taken as transient")
        assertNull(listenErrorOf(IllegalStateException("defect")))
        assertNull(listenErrorOf(OutOfMemoryError("Java heap space")))
    }

    /** Guards against service that comes back long after the port is free, and against a loop without pauses. */
    @OptIn(ExperimentalCoroutinesApi::class)
    @Test
    fun `a bind is tried again within a quarter of a second`() =
        runTest {
            var attempts = 0
            val result =
                retryListen(address, ListenRetry(time = testTimeSource)) {
                    attempts += 1
                    if (testScheduler.currentTime < HELD_MILLIS) throw BindException("Address already in use")
                    testScheduler.currentTime
                }
            val openedAt = result.getOrNull()!!
            assertTrue(openedAt <= HELD_MILLIS + MAX_PAUSE_MILLIS, "$openedAt")
            assertTrue(attempts < HELD_MILLIS / MAX_PAUSE_MILLIS + 10, "$attempts attempts")
        }

    /** Guards against a wait for a setting that never becomes right, and against a stop that waits for a port. */
    @Test
    fun `a permanent failure and a cancellation end the attempts`() =
        runTest {
            val result = retryListen<Unit>(address) { throw BindException("Permission denied") }
            assertEquals(ListenError.NotPermitted, result.leftOrNull())
            val waiting = launch { retryListen<Unit>(address) { throw BindException("Address already in use") } }
            delay(5.seconds)
            waiting.cancel()
            delay(1.milliseconds)
            assertTrue(waiting.isCompleted)
        }

    private companion object {
        const val HELD_MILLIS = 60_000L
        const val MAX_PAUSE_MILLIS = 250L
    }
}
