package org.cicadaturn.decisions.routing

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.EngineState
import org.cicadaturn.schema.generated.LoadReport
import org.cicadaturn.schema.generated.ProcessId
import org.junit.jupiter.api.Assertions.assertTrue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class SampledChooserProperties {
    /** Entry process that has received [reports] and sends requests that do not end. */
    private class Entry(
        number: Int,
        private val entries: Int,
        reports: List<LoadReport>,
        seed: Int,
        samples: Int,
    ) {
        private val chooser = sampledChooser(Random(seed * 1_000 + number), SampledChooserOptions(samples = samples))
        private val processes = List(entries) { ProcessId("entry-$it") }
        private val trackers =
            reports.associate { report ->
                val rank = entryRank(processes[number], processes, report.endpoint)
                val tracker = endpointLoadTracker(report.endpoint, Duration.ZERO, rank)
                tracker.reported(report, madeAt = start)
                report.endpoint to tracker
            }

        fun send(at: Duration): EndpointId? {
            val input = input(trackers.values.map { it.candidate() }).copy(entries = entries)
            val endpoint = chooser(input).endpoint() ?: return null
            trackers.getValue(endpoint).sent(input.tokens, start + at)
            return endpoint
        }
    }

    private fun send(
        entries: Int,
        requests: Int,
        reports: List<LoadReport>,
        seed: Int,
        samples: Int = 2,
    ): Map<EndpointId, Int> {
        val senders = List(entries) { Entry(it, entries, reports, seed, samples) }
        val sent =
            (0 until requests).flatMap { round ->
                senders.mapNotNull { it.send((round * 10 + 10).milliseconds) }
            }
        return sent.groupingBy { it }.eachCount()
    }

    /**
     * Guards against all entries sending to the one endpoint that their delayed reports show as idle.
     *
     * With many samples, the idle endpoint is among them most of the time, so that only the own work since the
     * report and the assumption about the other entries keep it from getting most of the requests.
     */
    @Property(tries = 100, seed = "41")
    fun entriesDoNotAllChooseTheIdleEndpoint(
        @ForAll @IntRange(min = 4, max = 16) entries: Int,
        @ForAll @IntRange(max = 1_000) seed: Int,
    ) {
        val reports = List(12) { report(it, running = if (it == 0) 8 else 20) }
        val sent = send(entries, requests = 96 / entries, reports, seed, samples = 8)
        val idle = 8 + (sent[id(0)] ?: 0)
        assertTrue(idle <= 32, "$idle requests at the endpoint that was idle, its bound is 32")
        assertTrue(idle >= 16, "only $idle requests at the endpoint that was idle")
    }

    /** Guards against a single entry that sends a cold endpoint more work than its reported bound. */
    @Property(tries = 200, seed = "42")
    fun oneEntryStaysWithinTheColdBound(
        @ForAll @IntRange(min = 1, max = 8) bound: Int,
        @ForAll @IntRange(max = 10) running: Int,
        @ForAll @IntRange(min = 1, max = 8) entries: Int,
        @ForAll @IntRange(max = 1_000) seed: Int,
    ) {
        val coldReport = report(0, running, bound, EngineState.COLD)
        val entry = Entry(0, entries, listOf(coldReport, report(1, 20)), seed, samples = 2)
        val sent = (1..40).count { entry.send((it * 10).milliseconds) == id(0) }
        assertTrue(sent <= maxOf(bound - running, 0), "$sent sent, $running of $bound were in use")
    }

    /** Guards against entries that together overload a cold endpoint because each sees the same free places. */
    @Property(tries = 200, seed = "43")
    fun allEntriesTogetherStayWithinTheColdBound(
        @ForAll @IntRange(min = 2, max = 12) bound: Int,
        @ForAll @IntRange(min = 1, max = 24) entries: Int,
        @ForAll @IntRange(max = 1_000) seed: Int,
    ) {
        // Half of the bound is in use by requests that end as new ones arrive; only the requests sent here must fit it.
        val coldReport = report(0, (bound + 1) / 2, bound, EngineState.COLD)
        val sent = send(entries, requests = 10, listOf(coldReport, report(1, 20)), seed)
        assertTrue((sent[id(0)] ?: 0) <= bound, "${sent[id(0)]} sent by $entries entries, the bound is $bound")
    }
}
