package org.cicadaturn.decisions.quarantine

import org.cicadaturn.schema.generated.CrashReport
import org.cicadaturn.schema.generated.Digest
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.LostPrompt
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.PromptSegmentId
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.schema.generated.SuspectKind
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Tests which requests are suspected and held back for themselves after crashes, answers and releases. */
class RequestQuarantineTest {
    private val start = Instant.fromEpochSeconds(1_000)
    private val service = ServiceId("draft")
    private val organisation = OrganisationId("o")
    private val quarantine = segmentQuarantine()
    private var crashes = 0

    private class Request(
        val prompt: String,
        body: String,
    ) {
        val segments = prompt.split(' ').filter { it.isNotEmpty() }.map { PromptSegmentId(it) }
        val digest: Digest = requestDigest("POST", "/x", OrganisationId("o"), body.encodeToByteArray())
    }

    private fun SegmentQuarantine.crash(
        at: Instant,
        vararg lost: Pair<Request, Double>,
    ) {
        crashes += 1
        val prompts = lost.map { (request, ratio) -> LostPrompt(request.segments.dropLast(1), ratio, request.digest) }
        val endpoint = EndpointId("e$crashes")
        crashed(CrashReport(ProcessId("g1"), service, endpoint, 0L, Duration.ZERO, prompts), at)
    }

    private fun answer(
        request: Request,
        at: Instant,
    ) = quarantine.answered(service, organisation, request.segments, at, request.digest)

    private fun SegmentQuarantine.verdict(
        request: Request,
        at: Instant,
    ): Verdict = view(at).verdict(service, request.segments) { request.digest }

    private fun assertQuarantined(
        request: Request,
        at: Instant,
    ) = assertTrue(quarantine.verdict(request, at) is Verdict.Quarantined, "${quarantine.verdict(request, at)}")

    /** Asserts that [request] is sent as the only suspect, for a suspicion that would suffice to hold it back. */
    private fun assertTried(
        request: Request,
        at: Instant,
        by: SegmentQuarantine = quarantine,
    ) {
        val verdict = by.verdict(request, at)
        assertTrue(verdict is Verdict.Suspected && verdict.confidence >= PROBABLE, "$verdict")
    }

    private fun assertClear(
        request: Request,
        at: Instant,
    ) = assertEquals(Verdict.Clear, quarantine.verdict(request, at))

    /** Guards against a shared segment that is blamed for a request, which is free when it comes again. */
    @Test
    fun `a request whose segments were answered is tried after one crash and held back after two, nothing else is`() {
        answer(Request("a 0", "sound"), start - 1.seconds)
        val bad = Request("a 1", "bad")
        val company = (1..10).map { Request("a ${it + 1}", "company $it") }
        quarantine.crash(start, bad to STRONG, *company.map { it to WAITING }.toTypedArray())
        assertTried(bad, start)
        quarantine.crash(start + 1.seconds, bad to STRONG)
        assertQuarantined(bad, start + 1.seconds)
        for (time in listOf(start, start + 1.seconds)) {
            assertClear(Request("a 9", "another"), time)
            company.forEach { assertClear(it, time) }
        }
    }

    /** Guards against a sound request that nobody may send after one crash, so that no answer can clear it. */
    @Test
    fun `a request that was lost alone in one crash is tried, and its answer clears it in all processes`() {
        val sound = Request("a 1", "sound")
        answer(Request("a 0", "another"), start - 1.seconds)
        quarantine.crash(start, sound to STRONG)
        val other = segmentQuarantine()
        other.merge(quarantine.news(start), start)
        val verdict = quarantine.verdict(sound, start)
        assertTrue(verdict is Verdict.Suspected && verdict.notBefore <= start + 1.seconds, "$verdict")
        assertTrue(other.verdict(sound, start) is Verdict.Suspected)
        answer(sound, start + 1.seconds)
        other.merge(quarantine.news(start + 1.seconds), start + 1.seconds)
        assertClear(sound, start + 1.seconds)
        assertEquals(Verdict.Clear, other.verdict(sound, start + 1.seconds))
    }

    /** Guards against a trial of a request whose copies have crashed two endpoints at once, which count as one outage. */
    @Test
    fun `a request that two endpoints were lost with at once is held back`() {
        val bad = Request("", "bad")
        repeat(2) { quarantine.crash(start, bad to STRONG) }
        assertQuarantined(bad, start)
    }

    /** Guards against a third crash, as a process that has lost power knows the first only from the store. */
    @Test
    fun `a request that is listed for one crash and causes a second is held back, and the entry tells of both`() {
        val bad = Request("", "bad")
        quarantine.crash(start, bad to STRONG)
        val late = segmentQuarantine()
        late.listed(quarantine.changes(start, start).added, start, start)
        assertTried(bad, start, late)
        late.crash(start + 1.seconds, bad to WEAK)
        assertTrue(late.verdict(bad, start + 1.seconds) is Verdict.Quarantined)
        val entry = late.changes(start + 1.seconds, start + 1.seconds).added.single()
        assertEquals(2 to listOf("e1", "e2"), entry.crashes to entry.endpoints.map { it.text })
        val last = segmentQuarantine()
        last.listed(listOf(entry), start + 1.seconds, start + 1.seconds)
        assertTrue(last.verdict(bad, start + 1.hours) is Verdict.Quarantined)
    }

    /** Guards against suspicions that a loss of power ends, as several requests share the evidence of one crash. */
    @Test
    fun `requests that were lost in the same state are listed, and the one that causes a second crash is held back`() {
        for (count in 2..3) {
            val quarantine = segmentQuarantine()
            val lost = (1..count).map { Request("", "lost $it of $count") }
            quarantine.crash(start, *lost.map { it to STRONG }.toTypedArray())
            val listed = quarantine.changes(start, start).added
            assertEquals(count, listed.size)
            val late = segmentQuarantine()
            late.listed(listed, start, start)
            lost.forEach {
                assertTrue(
                    late.verdict(it, start) is Verdict.Suspected,
                    "$count: ${late.verdict(it, start)}",
                )
            }
            late.crash(start + 1.seconds, lost[0] to WEAK)
            assertTrue(late.verdict(lost[0], start + 1.seconds) is Verdict.Quarantined)
            assertTrue(late.verdict(lost[1], start + 1.seconds) is Verdict.Suspected)
        }
    }

    /** Guards against one crash that counts twice where the clocks of processes differ. */
    @Test
    fun `the crash that is in the list and in the evidence counts once`() {
        val bad = Request("", "bad")
        quarantine.crash(start, bad to STRONG)
        val listed = quarantine.changes(start, start).added
        quarantine.listed(listed, start, start + 10.seconds)
        assertTried(bad, start)
        assertTrue(quarantine.changes(start, start + 10.seconds).isEmpty)
    }

    /** Guards against a request without a prompt that is not considered. */
    @Test
    fun `a request without segments is held back after two crashes at most`() {
        val bad = Request("", "bad")
        quarantine.crash(start, bad to WEAK, Request("", "other") to WEAK)
        assertTrue(quarantine.verdict(bad, start) is Verdict.Suspected)
        quarantine.crash(start + 2.seconds, bad to WEAK, Request("", "third") to WEAK)
        assertQuarantined(bad, start + 2.seconds)
        assertClear(Request("", "third"), start + 2.seconds)
    }

    /** Guards against several copies of a request that crash endpoints at once, as sound streams beside it hide it. */
    @Test
    fun `a request that waited for its answer is suspected beside many streams that were under way`() {
        val bad = Request("a 1", "bad")
        val underWay = (1..64).map { Request("", "stream $it") }
        answer(Request("a 0", "sound"), start - 1.seconds)
        underWay.chunked(8).forEachIndexed { i, lost ->
            val prompts = lost.map { LostPrompt(emptyList(), UNDER_WAY_RATIO, it.digest) }
            val report = CrashReport(ProcessId("g$i"), service, EndpointId("e"), 0L, Duration.ZERO, prompts)
            quarantine.crashed(report, start)
        }
        val lost = listOf(LostPrompt(bad.segments.dropLast(1), 25.0, bad.digest))
        quarantine.crashed(CrashReport(ProcessId("g9"), service, EndpointId("e"), 0L, Duration.ZERO, lost), start)
        assertTrue(quarantine.verdict(bad, start) is Verdict.Suspected, "${quarantine.verdict(bad, start)}")
        underWay.forEach { assertClear(it, start) }
    }

    /** Guards against a third crash, as those that were lost beside the request share the evidence. */
    @Test
    fun `a request that two crashes found beside many others is held back, and none of the others is`() {
        val bad = Request("", "bad")
        val company = (1..2 * MAX_COMPANY).map { Request("", "company $it") }
        company.chunked(MAX_COMPANY).forEachIndexed { i, lost ->
            quarantine.crash(start + 2.seconds * i, bad to WEAK, *lost.map { it to WEAK }.toTypedArray())
        }
        assertQuarantined(bad, start + 2.seconds)
        company.forEach { assertClear(it, start + 2.seconds) }
    }

    /** Guards against a request that is held back until its entry expires, as its review is below no limit. */
    @Test
    fun `a listed request that two crashes found is tried in its review`() {
        val bad = Request("", "bad")
        listOf(start, start + 2.seconds).forEach { quarantine.crash(it, bad to WEAK, Request("", "$it") to WEAK) }
        val listed = quarantine.changes(start + 2.seconds, start).added
        val late = segmentQuarantine()
        late.listed(listed, start, start)
        assertTrue(late.verdict(bad, start + 13.hours) is Verdict.Quarantined)
        assertTrue(late.verdict(bad, start + 14.hours) is Verdict.Suspected)
    }

    /** Guards against more crashes by a shared segment because each request with it is blamed for itself. */
    @Test
    fun `a segment without an answer is held back after one crash although the request is a suspect too`() {
        answer(Request("a 0", "sound"), start - 1.seconds)
        val company = (1..10).map { Request("a ${it + 1}", "company $it") }
        quarantine.crash(start, Request("a bad 1", "b") to STRONG, *company.map { it to WAITING }.toTypedArray())
        assertQuarantined(Request("c bad 2", "another"), start)
        assertClear(Request("a 3", "sound"), start)
    }

    /** Guards against a sound request that is held back for long as it was lost with one that crashes endpoints. */
    @Test
    fun `of two requests that were lost in the same state neither is held back, and an answer convicts the other`() {
        val bad = Request("", "bad")
        val sound = Request("", "sound")
        quarantine.crash(start, bad to STRONG, sound to STRONG)
        assertTrue(quarantine.verdict(bad, start) is Verdict.Suspected)
        assertTrue(quarantine.verdict(sound, start) is Verdict.Suspected)
        answer(sound, start + 1.seconds)
        assertClear(sound, start + 1.seconds)
        assertTried(bad, start + 1.seconds)
        quarantine.crash(start + 2.seconds, bad to WEAK)
        assertQuarantined(bad, start + 2.seconds)
    }

    /** Guards against requests that wait for trials after an ordinary crash. */
    @Test
    fun `requests that were lost in an ordinary crash are free`() {
        val lost = (1..8).map { Request("", "$it") }
        quarantine.crash(start, *lost.map { it to WAITING }.toTypedArray())
        lost.forEach { assertClear(it, start) }
    }

    /** Guards against a request that crashes an endpoint every few minutes for hours. */
    @Test
    fun `a request is tried after one crash and held back for most of a day after two`() {
        val bad = Request("", "bad")
        quarantine.crash(start, bad to STRONG)
        assertTried(bad, start + 1.minutes)
        assertTrue(quarantine.verdict(bad, start + 3.minutes) is Verdict.Suspected)
        quarantine.crash(start + 3.minutes, bad to STRONG)
        assertQuarantined(bad, start + 23.hours)
        assertClear(bad, start + 25.hours)
    }

    /** Guards against knowledge that is lost with the power of all processes, and against a request that returns then. */
    @Test
    fun `a listed request is tried without own evidence, and a trial clears it`() {
        val bad = Request("", "bad")
        quarantine.crash(start, bad to STRONG)
        val listed = quarantine.changes(start, start).added
        assertEquals(listOf(SuspectKind.REQUEST), listed.map { it.kind })
        val late = segmentQuarantine()
        late.listed(listed, start, start + 30.seconds)
        assertTried(bad, start, late)
        assertTrue(late.verdict(bad, start + 2.minutes) is Verdict.Suspected)
        late.answered(service, organisation, bad.segments, start + 2.minutes, bad.digest)
        assertEquals(Verdict.Clear, late.verdict(bad, start + 2.minutes))
        assertEquals(listOf(requestSegment(service, bad.digest)), late.changes(start + 2.minutes, start).removed)
    }

    /** Guards against processes that hold back different requests. */
    @Test
    fun `news of another process give the same verdicts, also after an answer`() {
        val bad = Request("", "bad")
        val sound = Request("", "sound")
        quarantine.crash(start, bad to STRONG, sound to STRONG)
        val other = segmentQuarantine()
        other.merge(quarantine.news(start), start)
        answer(sound, start + 1.seconds)
        other.merge(quarantine.news(start + 1.seconds), start + 1.seconds)
        assertTried(bad, start + 1.seconds, other)
        assertEquals(Verdict.Clear, other.verdict(sound, start + 1.seconds))
        quarantine.crash(start + 2.seconds, bad to STRONG)
        other.merge(quarantine.news(start + 2.seconds), start + 2.seconds)
        assertTrue(other.verdict(bad, start + 2.seconds) is Verdict.Quarantined)
    }

    /** Guards against memory that each answered request takes. */
    @Test
    fun `answers to requests that are no suspects are not kept`() {
        answer(Request("", "sound"), start - 1.seconds)
        val sound = requestSegment(service, Request("", "sound").digest)
        assertEquals(emptyList<Any>(), quarantine.answersTo(listOf(sound), start))
    }

    /** Guards against a service whose requests are tried although only one of them is held back. */
    @Test
    fun `a request that is held back for itself is not tried because its service answers nothing`() {
        val bad = Request("", "bad")
        repeat(2) { quarantine.crash(start - 1.seconds * it, bad to STRONG) }
        val blocked = quarantine.view(start).copy(blocked = setOf(service))
        assertTrue(blocked.verdict(service, bad.segments) { bad.digest } is Verdict.Quarantined)
    }

    /** Guards against an identity that other requests share, or that not all copies have. */
    @Test
    fun `copies of a request have one digest, and other requests another`() {
        val body = "body".encodeToByteArray()
        val digest = requestDigest("POST", "/x?q=1", organisation, body)
        assertEquals(digest, requestDigest("POST", "/x?q=1", organisation, body.copyOf()))
        val others =
            listOf(
                requestDigest("PUT", "/x?q=1", organisation, body),
                requestDigest("POST", "/x?q=2", organisation, body),
                requestDigest("POST", "/x?q=1", OrganisationId("p"), body),
                requestDigest("POST", "/x?q=1", null, body),
                requestDigest("POST", "/x?q=1", organisation, "bodies".encodeToByteArray()),
                requestDigest("POST", "/x?q=1o", OrganisationId(""), body),
            )
        others.forEach { assertNotEquals(digest, it) }
    }

    /** Guards against a release that frees a segment instead of a request. */
    @Test
    fun `the names of segments and requests differ and can be read back`() {
        val digest = Request("", "bad").digest
        val request = requestSegment(service, digest)
        val segment = ServiceSegment(service, PromptSegmentId(digest.text))
        assertNotEquals(request.name, segment.name)
        assertEquals(request, serviceSegment(service, request.name))
        assertEquals(segment, serviceSegment(service, segment.name))
    }

    private companion object {
        /** Likelihood ratio of a request that is answered whole, at any time. */
        const val WEAK = 20.0

        /** Others in progress at an endpoint that crashes. */
        const val MAX_COMPANY = 16

        /** Likelihood ratio of a request that waited for its stream, a state in which many are lost in ordinary crashes. */
        const val WAITING = 40.0

        /** Confidence from which a request was held back for itself after one crash. */
        const val PROBABLE = 0.5

        /** Likelihood ratio of a request whose stream had a head and no event. */
        const val STRONG = 2_400.0
    }
}
