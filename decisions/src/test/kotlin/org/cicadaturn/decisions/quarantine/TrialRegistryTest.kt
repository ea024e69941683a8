package org.cicadaturn.decisions.quarantine

import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.SegmentTrial
import org.cicadaturn.schema.generated.ServiceId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Tests that a service has one trial of suspected segments at a time. */
class TrialRegistryTest {
    private val now = Instant.fromEpochSeconds(1_000)
    private val service = ServiceId("draft")
    private val a = trialRegistry(ProcessId("a"))
    private val b = trialRegistry(ProcessId("b"))

    private fun claim(registry: TrialRegistry): SegmentTrial = registry.claim(service, now)!!

    /** Guards against several processes that send suspected requests at the same time. */
    @Test
    fun `of two claims at the same time one is started`() {
        val claims = claim(a) to claim(b)
        a.seen(claims.second, now)
        b.seen(claims.first, now)
        assertTrue(a.start(service, listOf(claims.second)))
        assertFalse(b.start(service, listOf(claims.first)))
        assertEquals(emptyList<SegmentTrial>(), b.own())
    }

    /** Guards against a claim with a low identifier that ends a trial that has been started. */
    @Test
    fun `a started trial is not displaced`() {
        claim(b)
        assertTrue(b.start(service, emptyList()))
        claim(a)
        assertFalse(a.start(service, b.own()))
    }

    /** Guards against a process that starts a second trial of its own. */
    @Test
    fun `a process has one trial for a service`() {
        claim(a)
        assertNull(a.claim(service, now))
        assertNotNull(a.claim(ServiceId("other"), now))
        a.end(service)
        assertNotNull(a.claim(service, now))
    }

    /** Guards against trials that end with the process that holds one. */
    @Test
    fun `another process's trial is respected until its end or for a time`() {
        b.seen(claim(a), now)
        assertNull(b.claim(service, now + 3.seconds))
        assertNotNull(b.claim(service, now + 4.seconds))
        b.end(service)
        b.seen(SegmentTrial(ProcessId("c"), service, isGranted = true), now)
        b.seen(SegmentTrial(ProcessId("c"), service, isGranted = true, isOver = true), now)
        assertNotNull(b.claim(service, now))
    }
}
