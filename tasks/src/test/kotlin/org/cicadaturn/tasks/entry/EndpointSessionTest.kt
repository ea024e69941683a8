package org.cicadaturn.tasks.entry

import kotlinx.coroutines.channels.toList
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.cicadaturn.schema.generated.AttemptId
import org.cicadaturn.schema.generated.Frame
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.Outcome
import org.cicadaturn.schema.generated.RefusalCode
import org.cicadaturn.schema.generated.RequestId
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.schema.generated.StreamId
import org.cicadaturn.tasks.wire.WireError
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import kotlin.time.Duration.Companion.seconds

class EndpointSessionTest {
    private val first = AttemptId("first")
    private val second = AttemptId("second")

    /** Guards against an answer that is sent to another caller when answers interleave on one connection. */
    @Test
    fun `interleaved answers reach their own streams`() =
        withSession { link, session ->
            val a = checkNotNull(session.open(first) { open(it, first) })
            val b = checkNotNull(session.open(second) { open(it, second) })
            val frames =
                listOf(
                    head(2, second),
                    head(1, first),
                    chunk(2, 0, "b0"),
                    chunk(1, 0, "a0"),
                    chunk(2, 1, "b1"),
                    Frame.End(StreamId(1), 1),
                    Frame.End(StreamId(2), 2),
                )
            frames.forEach { link.fromPeer.send(it) }
            assertEquals("a0", textOf(a))
            assertEquals("b0b1", textOf(b))
        }

    /** Guards against answers that are treated as complete although frames were lost, repeated, reordered or late. */
    @TestFactory
    fun `an invalid answer ends with an unknown outcome`(): List<DynamicTest> =
        listOf(
            "head of another attempt" to listOf(head(1, second)),
            "chunk lost" to listOf(head(1, first), chunk(1, 1, "x")),
            "chunk repeated" to listOf(head(1, first), chunk(1, 0, "x"), chunk(1, 0, "x")),
            "end too early" to listOf(head(1, first), chunk(1, 0, "x"), Frame.End(StreamId(1), 2)),
            "end without head" to listOf(Frame.End(StreamId(1), 0)),
            "chunk without head" to listOf(chunk(1, 0, "x")),
            "second head" to listOf(head(1, first), head(1, first)),
            "refusal within an answer" to
                listOf(head(1, first), Frame.Refused(StreamId(1), RefusalCode.OVERLOADED, "late")),
            "connection lost within an answer" to listOf(head(1, first), chunk(1, 0, "x")),
            "connection lost before an answer" to emptyList(),
        ).map { (name, frames) -> DynamicTest.dynamicTest(name) { expectUnknown(frames) } }

    private fun expectUnknown(frames: List<Frame>) =
        withSession { link, session ->
            val stream = checkNotNull(session.open(first) { open(it, first) })
            frames.forEach { link.fromPeer.send(it) }
            link.fromPeer.close()
            val all = stream.frames.toList()
            val last = assertInstanceOf(Frame.Failed::class.java, all.last())
            assertEquals(Outcome.UNKNOWN, last.outcome)
            assertEquals(0, all.count { it is Frame.End || it is Frame.Refused })
        }

    /** Guards against frames of an ended stream that are treated as the answer on a later stream. */
    @Test
    fun `late frames of an ended stream are dropped`() =
        withSession { link, session ->
            val a = checkNotNull(session.open(first) { open(it, first) })
            a.cancel()
            val b = checkNotNull(session.open(second) { open(it, second) })
            val late = listOf(head(1, first), chunk(1, 0, "late"), Frame.End(StreamId(1), 1))
            val own = listOf(head(2, second), chunk(2, 0, "own"), Frame.End(StreamId(2), 1))
            (late + own).forEach { link.fromPeer.send(it) }
            assertEquals("own", textOf(b))
        }

    /** Guards against the outcome "unknown" for a request that was never sent. */
    @Test
    fun `a session that has ended opens no stream`() =
        withSession { link, session ->
            link.close(WireError.ConnectionLost("test"))
            assertNull(session.open(first) { open(it, first) })
        }

    private fun withSession(test: suspend TestScope.(FakeLink, LinkSession) -> Unit) =
        runTest {
            val link = FakeLink()
            val session = LinkSession(link, onConnectionFrame = {}, onViolation = {})
            val running = launch { session.run() }
            test(link, session)
            link.close(WireError.ConnectionLost("test over"))
            running.join()
        }

    private suspend fun textOf(stream: AnswerStream): String =
        stream.frames
            .toListUntilLast()
            .filterIsInstance<Frame.Chunk>()
            .joinToString("") { it.data.decodeToString() }

    private suspend fun kotlinx.coroutines.channels.ReceiveChannel<Frame>.toListUntilLast(): List<Frame> {
        val all = ArrayList<Frame>()
        while (all.lastOrNull() !is Frame.End) all += receive()
        return all
    }

    private fun open(
        stream: StreamId,
        attempt: AttemptId,
    ): Frame.Open =
        Frame.Open(
            stream = stream,
            attempt = attempt,
            request = RequestId("r"),
            service = ServiceId("s"),
            organisation = OrganisationId("o"),
            method = "POST",
            path = "/",
            body = ByteArray(0),
            timeLeft = 1.seconds,
            credit = STREAM_CREDIT_CHUNKS,
        )

    private fun head(
        stream: Long,
        attempt: AttemptId,
    ): Frame = Frame.Head(StreamId(stream), attempt, 200)

    private fun chunk(
        stream: Long,
        sequence: Int,
        text: String,
    ): Frame = Frame.Chunk(StreamId(stream), sequence, text.encodeToByteArray())
}
