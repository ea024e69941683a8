package org.cicadaturn.tasks.wire

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.Incarnation
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.Role
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test
import java.util.concurrent.Executors
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests on loopback when a link counts as lost. */
class StalledProcessTest {
    private val times = WireTimes(5.seconds, keepaliveInterval = 50.milliseconds, keepaliveTimeout = 500.milliseconds)

    private fun wire(
        selector: SelectorManager,
        id: String,
        times: WireTimes,
    ): Wire =
        Wire(
            selector,
            WireIdentity(Role.ENTRY, ProcessId(id), Incarnation(1), FailureDomainId("a"), "k".repeat(32)),
            times,
        ) {}

    /** Guards against requests that are cut as their process was stalled, although all its peers are alive. */
    @Test
    fun `a link lasts while this process is stalled for longer than the keepalive timeout`() =
        runBlocking(Dispatchers.Default) {
            val thread = Executors.newSingleThreadExecutor().asCoroutineDispatcher()
            val scope = CoroutineScope(Dispatchers.Default + Job())
            SelectorManager(Dispatchers.IO).use { selector ->
                val anyPort = NetworkAddress("127.0.0.1", 0)
                // The peer waits longer, as it gets no frames in the meantime.
                val patient = times.copy(keepaliveTimeout = 30.seconds)
                val listener =
                    wire(
                        selector,
                        "peer",
                        patient,
                    ).listen(anyPort, setOf(Role.ENTRY), scope) { awaitCancellation() }
                val established = CompletableDeferred<FrameLink>()
                scope.launch(thread) {
                    wire(selector, "stalled", times).connect(listener.address, Role.ENTRY) { link ->
                        established.complete(link)
                        link.ended.await()
                    }
                }
                val link = established.await()
                repeat(3) {
                    withContext(thread) { Thread.sleep(3 * times.keepaliveTimeout.inWholeMilliseconds) }
                    delay(times.keepaliveInterval * 2)
                }
                val end = withTimeoutOrNull(times.keepaliveTimeout) { link.ended.await() }
                scope.cancel()
                assertNull(end)
            }
            thread.close()
        }
}
