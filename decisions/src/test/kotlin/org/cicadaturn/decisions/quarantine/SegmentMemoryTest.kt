package org.cicadaturn.decisions.quarantine

import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.PromptSegmentId
import org.cicadaturn.schema.generated.ServiceId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Tests which answered segments are remembered. */
class SegmentMemoryTest {
    private val start = Instant.fromEpochSeconds(1_000)
    private val service = ServiceId("draft")
    private val memory = segmentMemory(capacity = 10)

    private fun lastAnswer(segment: String): Instant? =
        memory.lastAnswer(ServiceSegment(service, PromptSegmentId(segment)))

    private fun answered(
        organisation: String,
        at: Instant,
        vararg segments: String,
    ) = memory.answered(service, OrganisationId(organisation), segments.map { PromptSegmentId(it) }, at)

    /** Guards against one caller whose many segments make the others' look as if they had never been answered. */
    @Test
    fun `an organisation with many segments displaces its own`() {
        answered("a", start, "a1", "a2")
        answered("b", start, "b1")
        repeat(1_000) { answered("flood", start, "odd$it") }
        assertEquals(listOf(start, start, start), listOf("a1", "a2", "b1").map { lastAnswer(it) })
        assertEquals(start, lastAnswer("odd999"))
        assertNull(lastAnswer("odd0"))
    }

    /** Guards against a segment that is forgotten although it is in use. */
    @Test
    fun `the segments used last are kept`() {
        repeat(100) { answered("a", start + 1.seconds * it, "shared", "own$it") }
        assertEquals(start + 99.seconds, lastAnswer("shared"))
    }

    /** Guards against an answer of one service that clears a segment at another one. */
    @Test
    fun `answers count for their service only`() {
        answered("a", start, "s")
        assertNull(memory.lastAnswer(ServiceSegment(ServiceId("other"), PromptSegmentId("s"))))
    }
}
