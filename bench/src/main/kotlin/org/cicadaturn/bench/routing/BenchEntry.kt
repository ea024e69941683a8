package org.cicadaturn.bench.routing

import org.cicadaturn.bench.VirtualTime
import org.cicadaturn.decisions.admission.Ticket
import org.cicadaturn.decisions.routing.CacheEvent
import org.cicadaturn.decisions.routing.CachedPrefix
import org.cicadaturn.decisions.routing.Candidate
import org.cicadaturn.decisions.routing.Choice
import org.cicadaturn.decisions.routing.EndpointChooser
import org.cicadaturn.decisions.routing.RoutingInput
import org.cicadaturn.decisions.routing.endpointLoadTracker
import org.cicadaturn.decisions.routing.entryRank
import org.cicadaturn.decisions.routing.outlierDetector
import org.cicadaturn.decisions.routing.prefixIndex
import org.cicadaturn.decisions.routing.retryBudget
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.LoadReport
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.RefusalCode
import org.cicadaturn.schema.generated.RoutingBenchOptions
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Model of an entry node that uses the chooser, the load trackers, outlier detection and the retry budget. */
internal class BenchEntry(
    private val number: Int,
    private val options: RoutingBenchOptions,
    private val endpoints: List<BenchEndpoint>,
    private val time: VirtualTime,
    private val measurements: RunMeasurements,
    private val chooser: (BenchRequest) -> EndpointChooser,
) {
    private val domain = number % options.failureDomains
    private val byId = endpoints.associateBy { it.id }
    private val trackers = endpoints.associate { it.id to endpointLoadTracker(it.id, roundTrip(it), rank(it)) }
    private val outliers = outlierDetector()
    private val budget = retryBudget()
    private val prefixes = prefixIndex()
    private val streams = LinkedHashSet<Stream>()

    init {
        outliers.updateMembers(byId.keys, time.now)
    }

    /** Attempt of a request in the view of the entry. */
    private inner class Stream(
        val request: BenchRequest,
        val endpoint: BenchEndpoint,
        val tried: Set<EndpointId>,
    ) : AttemptListener {
        val network = if (endpoint.domain == domain) LOCAL_NETWORK else options.network
        var ticket: Ticket? = null
        var isOpen = true
        var acceptedAt: Instant? = null
        var lastToken: Instant? = null
        var isSilent = false

        override fun accepted() {
            acceptedAt = time.now
            time.after(FIRST_TOKEN_TIMEOUT) { if (isOpen && lastToken == null) onFirstTokenLate(this) }
        }

        override fun refused(code: RefusalCode) = time.after(network) { close { onRefused(this, code) } }

        override fun token() {
            val now = time.now + network
            val last = lastToken
            lastToken = now
            if (last != null) return measurements.recordGap(request, now - last)
            measurements.recordFirstToken(request, now - request.arrival)
            acceptedAt?.let { outliers.answered(endpoint.id, now - it, now) }
        }

        override fun done() = time.after(network) { close { request.isComplete = true } }

        override fun failed() = time.after(network) { close { onFailed(this) } }

        fun close(then: () -> Unit) {
            if (!isOpen) return
            isOpen = false
            streams.remove(this)
            trackers.getValue(endpoint.id).ended(request.tokens, time.now)
            then()
        }
    }

    fun request(request: BenchRequest) {
        budget.request(time.now)
        attempt(request, emptySet())
    }

    fun report(
        report: LoadReport,
        madeAt: Instant,
    ) = trackers.getValue(report.endpoint).reported(report, madeAt)

    fun cacheEvent(event: CacheEvent) = prefixes.event(event, time.now)

    /** Reports a failure of the endpoint to outlier detection for each stream that has become silent. */
    fun detectSilentStreams() {
        val silent =
            streams.filter { s ->
                !s.isSilent &&
                    s.lastToken.let { it != null && time.now - it > SILENCE_TIMEOUT }
            }
        for (stream in silent) {
            stream.isSilent = true
            outliers.failed(stream.endpoint.id, time.now)
        }
    }

    private fun attempt(
        request: BenchRequest,
        tried: Set<EndpointId>,
    ) {
        when (val choice = chooser(request)(input(request, tried))) {
            is Choice.Chosen -> send(request, byId.getValue(choice.endpoint), tried)
            is Choice.None -> measurements.recordRefusal()
        }
    }

    private fun input(
        request: BenchRequest,
        tried: Set<EndpointId>,
    ): RoutingInput {
        val (local, remote) = endpoints.mapNotNull(::candidate).partition { it.network == Duration.ZERO }
        val all = local + remote
        val holders = request.prefix?.let { prefixes.holders(listOf(it), time.now) }.orEmpty()
        val cached =
            holders.keys.mapNotNull { holder ->
                val position = all.indexOfFirst { it.endpoint == holder }
                if (position < 0) null else CachedPrefix(position, request.prefixTokens)
            }
        return RoutingInput(
            local = local,
            remote = remote,
            tokens = request.tokens,
            deadline = request.deadline,
            now = time.now,
            tried = tried,
            cached = cached,
            entries = options.nodes,
        )
    }

    private fun candidate(endpoint: BenchEndpoint): Candidate? {
        val limit = outliers.ownLimit(endpoint.id, time.now)
        return if (limit == 0) null else trackers.getValue(endpoint.id).candidate(limit)
    }

    private fun send(
        request: BenchRequest,
        endpoint: BenchEndpoint,
        tried: Set<EndpointId>,
    ) {
        val stream = Stream(request, endpoint, tried + endpoint.id)
        streams += stream
        trackers.getValue(endpoint.id).sent(request.tokens, time.now)
        request.prefix?.let { prefixes.sent(endpoint.id, listOf(it), time.now) }
        endpoint.inTransit += 1
        time.after(stream.network) {
            endpoint.inTransit -= 1
            stream.ticket = endpoint.open(request, stream)
        }
    }

    private fun onRefused(
        stream: Stream,
        code: RefusalCode,
    ) {
        if (code == RefusalCode.OVERLOADED) trackers.getValue(stream.endpoint.id).refused(time.now)
        if (code == RefusalCode.UNREACHABLE) outliers.failed(stream.endpoint.id, time.now)
        if (mayRetry(stream)) attempt(stream.request, stream.tried) else measurements.recordRefusal()
    }

    private fun onFailed(stream: Stream) {
        outliers.failed(stream.endpoint.id, time.now)
        val isRetried = isRepeatable(stream) && mayRetry(stream)
        if (isRetried) attempt(stream.request, stream.tried) else measurements.recordFailure()
    }

    /** Tries another endpoint if a retry is allowed; otherwise the attempt continues. */
    private fun onFirstTokenLate(stream: Stream) {
        outliers.failed(stream.endpoint.id, time.now)
        if (!isRepeatable(stream) || !mayRetry(stream)) return
        time.after(stream.network) { stream.ticket?.let(stream.endpoint::cancel) }
        stream.close { attempt(stream.request, stream.tried) }
    }

    private fun isRepeatable(stream: Stream): Boolean =
        stream.request.kind == RequestKind.DRAFT && stream.lastToken == null

    private fun mayRetry(stream: Stream): Boolean {
        if (stream.tried.size >= MAX_ATTEMPTS || !budget.tryRetry(time.now)) return false
        measurements.recordRetry()
        return true
    }

    private fun roundTrip(endpoint: BenchEndpoint): Duration =
        if (endpoint.domain == domain) Duration.ZERO else (options.network - LOCAL_NETWORK) * 2

    private fun rank(endpoint: BenchEndpoint): Int {
        val entries = List(options.nodes) { ProcessId("entry-$it") }
        return entryRank(entries[number], entries, endpoint.id)
    }

    private companion object {
        const val MAX_ATTEMPTS = 3
        val LOCAL_NETWORK = 100.microseconds

        // Several times the usual time from admission to the first token, and short enough to leave time for a retry.
        val FIRST_TOKEN_TIMEOUT = 200.milliseconds

        // A stream without a token for this time is the earliest indication of a stalled engine.
        val SILENCE_TIMEOUT = 300.milliseconds
    }
}
