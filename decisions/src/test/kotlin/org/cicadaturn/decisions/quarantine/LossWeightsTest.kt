package org.cicadaturn.decisions.quarantine

import org.cicadaturn.schema.generated.AnswerProgress
import org.cicadaturn.schema.generated.CrashReport
import org.cicadaturn.schema.generated.Digest
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.PromptSegmentId
import org.cicadaturn.schema.generated.ServiceId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Tests how strongly the loss of a request in a crash speaks against its prompt. */
class LossWeightsTest {
    private val service = ServiceId("draft")

    private fun weights(head: Duration): LossWeights =
        lossWeights().also { weights ->
            val times =
                mapOf(
                    AnswerProgress.NONE to 200.milliseconds,
                    AnswerProgress.HEAD to head,
                    AnswerProgress.BEGINNING to 250.milliseconds,
                    AnswerProgress.RUNNING to 1_500.milliseconds,
                )
            repeat(50) { weights.observed(service, times) }
        }

    /** Guards against a second crash where the state of a lost request tells which one caused the first. */
    @Test
    fun `a request that is lost between head and first event is the likely cause if these come together`() {
        val weights = weights(head = Duration.ZERO)
        assertTrue(weights.likelihoodRatio(service, AnswerProgress.HEAD) > 1_000)
        assertTrue(weights.likelihoodRatio(service, AnswerProgress.NONE) < 100)
        assertEquals(1.0, weights.likelihoodRatio(service, AnswerProgress.RUNNING))
    }

    /** Guards against a sound segment that is held back where engines send the head long before the first event. */
    @Test
    fun `a request that is lost between head and first event is one of many if these are far apart`() {
        val weights = weights(head = 400.milliseconds)
        assertTrue(weights.likelihoodRatio(service, AnswerProgress.HEAD) < 100)
    }

    /** Guards against a strong suspicion by a process that has hardly seen the service. */
    @Test
    fun `without observations all states count alike`() {
        val weights = lossWeights()
        weights.observed(service, mapOf(AnswerProgress.NONE to 200.milliseconds))
        val ratios = AnswerProgress.entries.map { weights.likelihoodRatio(service, it) }
        assertEquals(1, ratios.toSet().size)
    }

    /** Guards against streams that wait for a trial, or are held back, as ordinary crashes ended them. */
    @Test
    fun `an answer under way speaks weakly against its request and not against its segments`() {
        val start = Instant.fromEpochSeconds(1_000)
        val segments = listOf("shared", "own").map { PromptSegmentId(it) }
        val digest = Digest("d")
        val lost = weights(Duration.ZERO).lostPrompt(service, segments, AnswerProgress.RUNNING, digest, isStream = true)
        assertEquals(emptyList<PromptSegmentId>(), lost.segments)
        val quarantine = segmentQuarantine()
        val verdicts =
            List(3) { i ->
                val at = start + 2.seconds * i
                val report = CrashReport(ProcessId("g"), service, EndpointId("e$i"), 0L, Duration.ZERO, listOf(lost))
                quarantine.crashed(report, at)
                quarantine.view(at).verdict(service, segments) { digest }
            }
        assertEquals(Verdict.Clear, verdicts[0])
        assertTrue(verdicts[1] is Verdict.Suspected, "${verdicts[1]}")
        assertTrue(verdicts[2] is Verdict.Quarantined, "${verdicts[2]}")
    }
}
