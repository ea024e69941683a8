package org.cicadaturn.tasks.http

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpContent
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.launch
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.coroutines.CoroutineContext

/** Tests what happens to a part that arrives just before the wait for it is cancelled. */
class CancelledReceiveTest {
    /** Keeps what is dispatched until it is run, as an event loop does that is busy with other tasks. */
    private class QueueDispatcher : CoroutineDispatcher() {
        private val queue = ArrayDeque<Runnable>()

        override fun dispatch(
            context: CoroutineContext,
            block: Runnable,
        ) {
            queue += block
        }

        fun runAll() {
            while (queue.isNotEmpty()) queue.removeFirst().run()
        }
    }

    /** Guards against a piece of an answer, or a request, that is lost as a time limit passes at its arrival. */
    @OptIn(ExperimentalCoroutinesApi::class)
    @Test
    fun `a part that arrives just before its wait is cancelled is received by the next one`() {
        val dispatcher = QueueDispatcher()
        val scope = CoroutineScope(dispatcher)
        val channel = EmbeddedChannel()
        val link = NettyLink(channel, onFatalError = {})
        channel.pipeline().addLast(link)
        val wait = scope.launch { link.receive() }
        dispatcher.runAll()
        channel.writeInbound(DefaultHttpContent(Unpooled.copiedBuffer("piece", Charsets.US_ASCII)))
        wait.cancel()
        dispatcher.runAll()
        val next = scope.async { link.receive() }
        dispatcher.runAll()
        assertTrue(next.isCompleted, "the part is lost")
        assertEquals("piece", (next.getCompleted() as HttpPart.Data).bytes.decodeToString())
    }
}
