package org.cicadaturn.tasks.entry

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.Frame
import org.cicadaturn.schema.generated.Incarnation
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.Role
import org.cicadaturn.tasks.wire.FrameLink
import org.cicadaturn.tasks.wire.WireError

/** Link whose other end is the test. */
internal class FakeLink : FrameLink {
    val fromPeer = Channel<Frame>(Channel.UNLIMITED)
    val toPeer = Channel<Frame>(Channel.UNLIMITED)
    private val end = CompletableDeferred<WireError>()

    override val peer =
        Frame.Hello(1, Role.ENDPOINT, ProcessId("peer"), Incarnation(1), FailureDomainId("a"), ByteArray(32))
    override val incoming: ReceiveChannel<Frame> get() = fromPeer
    override val ended: Deferred<WireError> get() = end

    override suspend fun send(frame: Frame): Boolean = !end.isCompleted && toPeer.trySend(frame).isSuccess

    override fun close(reason: WireError) {
        end.complete(reason)
        fromPeer.close()
    }
}
