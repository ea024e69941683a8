package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.collectLatest
import kotlinx.coroutines.flow.distinctUntilChanged
import kotlinx.coroutines.flow.filter
import kotlinx.coroutines.flow.map
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import org.apache.logging.log4j.LogManager
import org.cicadaturn.schema.generated.DepartureReport
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.EndpointLimitReport
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.LimitNews
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.tasks.Supervisor
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Task that tells other gateways which limits endpoints name and which endpoints leave, and learns from them. */
internal interface LimitExchange {
    /** Adds the [news] of another process and returns what it should know. */
    suspend fun receive(news: LimitNews): LimitNews
}

/**
 * Dependencies of the limit exchange.
 *
 * @property limits limits that this process knows
 * @property notices endpoints that leave, as far as this process knows
 * @property exchange sends news to a process and returns its answer, or null if there is none within its time limit
 * @property clock monotonic clock
 */
internal class LimitExchangeDependencies(
    val self: ProcessId,
    val limits: EndpointLimits,
    val notices: ReportedNotices,
    val fleet: Fleet,
    val exchange: suspend (GatewayPeer, LimitNews) -> LimitNews?,
    val metrics: LimitMetrics,
    val random: Random,
    val clock: Clock,
)

/** Starts the task in [scope]. */
internal fun startLimitExchange(
    scope: CoroutineScope,
    dependencies: LimitExchangeDependencies,
    supervisor: Supervisor = Supervisor(dependencies.clock),
): LimitExchange = LimitExchangeTask(scope, dependencies, supervisor).also { it.start() }

/** News of another process; [reply] gets the answer if the process waits for one. */
private class ReceivedLimits(
    val news: LimitNews,
    val reply: CompletableDeferred<LimitNews>?,
)

private class LimitExchangeTask(
    private val scope: CoroutineScope,
    private val dependencies: LimitExchangeDependencies,
    private val supervisor: Supervisor,
) : LimitExchange {
    private val self = dependencies.self
    private val limits = dependencies.limits
    private val notices = dependencies.notices
    private val metrics = dependencies.metrics
    private val clock = dependencies.clock
    private val log = LimitLog()

    // When it is full, news are dropped and their sender gets an empty answer; a later refresh repeats their content.
    private val received = Channel<ReceivedLimits>(MAX_RECEIVED)

    /** Reports of other processes since the last changes, and the process that sent each. */
    private val reported = HashMap<EndpointId, Pair<EndpointLimitReport, ProcessId?>>()

    /** Time at which changes are sent next; null if there are none. */
    private var sendAt: Instant? = null
    private var lastSentAt = Instant.DISTANT_PAST

    /** Time of the next refresh; null while no limit is known. */
    private var refreshAt: Instant? = null

    fun start() {
        supervisor.start(scope, TASK) {
            launch { supervisor.attempt(TASK, "what the peers know") { askPeers() } }
            run()
        }
    }

    /** Learns what the other processes know, at the start and after each time that this process was cut off. */
    private suspend fun askPeers() {
        dependencies.fleet.state
            .filter { it.isKnown }
            .map { it.isConfigurationCurrent }
            .distinctUntilChanged()
            .collectLatest {
                repeat(QUERY_ROUNDS) {
                    val answers = askSome()
                    answers.forEach { received.trySend(ReceivedLimits(it, reply = null)) }
                    if (answers.isNotEmpty()) return@collectLatest
                    delay(QUERY_INTERVAL)
                }
            }
    }

    private suspend fun askSome(): List<LimitNews> =
        coroutineScope {
            chosenPeers(PEERS_PER_QUERY)
                .map { async { call(it, LimitNews(isQuery = true, sender = self)) } }
                .awaitAll()
                .filterNotNull()
        }

    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun run() {
        while (true) {
            val next = listOfNotNull(sendAt, refreshAt).minOrNull()
            select {
                received.onReceive { message ->
                    supervisor.attempt(TASK, "news of a peer") { merge(message) }
                        ?: message.reply?.complete(LimitNews())
                }
                limits.changes.onReceive { if (sendAt == null) sendAt = lastSentAt + BATCH_TIME }
                if (next != null) onTimeout(next - clock.now()) {}
            }
            val now = clock.now()
            if (sendAt.isDue(now)) sendChanges(now)
            if (refreshAt.isDue(now)) refresh(now)
        }
    }

    private fun Instant?.isDue(now: Instant): Boolean = this != null && this <= now

    private suspend fun merge(message: ReceivedLimits) {
        val news = message.news
        news.reports.forEach { reported[it.endpoint] = it to news.sender }
        limits.reported(news.reports)
        if (news.departures.isNotEmpty()) notices.departuresReported(news.departures, news.sender)
        val isEmpty = news.reports.isEmpty() && news.departures.isEmpty()
        if (refreshAt == null && !isEmpty) refreshAt = clock.now() + REFRESH_INTERVAL
        val reply = message.reply ?: return
        // A process that was cut off may report a limit that ended too long ago to be among the recent changes.
        val known = limits.reports(disputed = news.reports.mapTo(HashSet()) { it.endpoint })
        val departures = if (news.isQuery) notices.departures() else emptyList()
        reply.complete(LimitNews(if (news.isQuery) known else known.newerThan(news.reports), departures, sender = self))
    }

    private suspend fun sendChanges(now: Instant) {
        sendAt = null
        lastSentAt = now
        if (refreshAt == null) refreshAt = now + REFRESH_INTERVAL
        val changes = limits.takeNews()
        log.textsOf(changes, ::sourceOf).forEach { logger.info("limits: {}", it) }
        reported.clear()
        send(changes, notices.takeDepartures(), chosenPeers(PEERS_PER_CHANGE))
        metrics.limits(limits.status())
    }

    private fun sourceOf(change: EndpointLimitReport): ProcessId? {
        val (report, sender) = reported[change.endpoint] ?: return null
        val isSame = report.startedAt == change.startedAt && report.perSecond == change.perSecond
        return if (isSame) sender ?: UNKNOWN_SENDER else null
    }

    /**
     * Sends what this process knows to one other process, which may have been cut off when it changed.
     *
     * A process that gets nothing else for a while still learns of each limit, as every process does this.
     */
    private suspend fun refresh(now: Instant) {
        val known = limits.reports()
        log.retain(
            dependencies.fleet.state.value.view.endpoints
                .mapTo(HashSet()) { it.id },
        )
        if (sendAt == null) reported.clear()
        val departures = notices.departures(lately = true)
        refreshAt = if (known.isEmpty() && departures.isEmpty()) null else now + REFRESH_INTERVAL
        send(known.shuffled(dependencies.random).take(REPORTS_PER_MESSAGE), departures, chosenPeers(1))
        metrics.limits(limits.status())
    }

    /**
     * Sends [reports] and [departures] to [peers]; a process that does not answer delays no other, and calls end with
     * their time limit.
     */
    private fun send(
        reports: List<EndpointLimitReport>,
        departures: List<DepartureReport>,
        peers: List<GatewayPeer>,
    ) {
        val messages =
            reports.chunked(REPORTS_PER_MESSAGE).map { LimitNews(it, sender = self) } +
                departures.chunked(REPORTS_PER_MESSAGE).map { LimitNews(departures = it, sender = self) }
        for (news in messages) {
            peers.forEach { peer ->
                scope.launch {
                    val answer = supervisor.attempt(TASK, "a call to a peer") { Answer(call(peer, news)) }
                    answer?.news?.takeIf { it.reports.isNotEmpty() || it.departures.isNotEmpty() }?.let {
                        received.trySend(ReceivedLimits(it, reply = null))
                    }
                }
            }
        }
    }

    private suspend fun call(
        peer: GatewayPeer,
        news: LimitNews,
    ): LimitNews? {
        metrics.message(LimitMessageEvent.SENT)
        val answer = dependencies.exchange(peer, news)
        if (answer == null) metrics.message(LimitMessageEvent.UNANSWERED)
        return answer
    }

    private fun chosenPeers(count: Int): List<GatewayPeer> =
        dependencies.fleet.state.value.view.peers
            .filter { it.id != self }
            .shuffled(dependencies.random)
            .take(count)

    override suspend fun receive(news: LimitNews): LimitNews {
        val reply = CompletableDeferred<LimitNews>()
        val isQueued = received.trySend(ReceivedLimits(news, reply)).isSuccess
        metrics.message(if (isQueued) LimitMessageEvent.RECEIVED else LimitMessageEvent.DROPPED)
        return if (isQueued) reply.await() else LimitNews()
    }

    /** Result of a call, so that a call without an answer differs from one that met a defect. */
    private class Answer(
        val news: LimitNews?,
    )

    private companion object {
        val logger = LogManager.getLogger(LimitExchangeTask::class.java)
        const val TASK = "limits"

        /** Shortest time between two messages about changes; it bounds the messages if the limits change all the time. */
        val BATCH_TIME = 250.milliseconds

        /** Time between two refreshes; a process that was cut off learns of the limits after about this time. */
        val REFRESH_INTERVAL = 1.seconds

        /** Of 400 processes that each relay a change to 12 others, fewer than one in 100,000 is left out. */
        const val PEERS_PER_CHANGE = 12

        /** Processes that are asked at the same time after the start, as some may have ended. */
        const val PEERS_PER_QUERY = 3
        const val QUERY_ROUNDS = 5
        val QUERY_INTERVAL = 1.seconds

        /** A report takes about 100 bytes, and a peer reads 256 KiB at most. */
        const val REPORTS_PER_MESSAGE = 1_000

        /** Several batches of all processes that relay changes to this one; bounds the memory to about 10 MB. */
        const val MAX_RECEIVED = 64
        val UNKNOWN_SENDER = ProcessId("another process")
    }
}

/** Returns those of these reports that say something newer than [others] about the same endpoints. */
private fun List<EndpointLimitReport>.newerThan(others: List<EndpointLimitReport>): List<EndpointLimitReport> {
    val byEndpoint = others.associateBy { it.endpoint }
    return filter { own ->
        val other = byEndpoint[own.endpoint]
        val isNewer =
            when {
                other == null -> false
                own.startedAt != other.startedAt -> own.startedAt > other.startedAt
                else -> own.age < other.age
            }
        isNewer && (own.startedAt != other?.startedAt || own.perSecond != other.perSecond)
    }
}
