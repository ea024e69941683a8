package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.distinctUntilChanged
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.map
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import org.apache.logging.log4j.LogManager
import org.cicadaturn.decisions.quarantine.ServiceSegment
import org.cicadaturn.decisions.quarantine.SuspicionView
import org.cicadaturn.decisions.quarantine.refusedCopies
import org.cicadaturn.decisions.quarantine.requestSegment
import org.cicadaturn.decisions.quarantine.suspects
import org.cicadaturn.schema.generated.AnswerProgress
import org.cicadaturn.schema.generated.CrashReport
import org.cicadaturn.schema.generated.Digest
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.LostPrompt
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.PromptSegmentId
import org.cicadaturn.schema.generated.QuarantineNews
import org.cicadaturn.schema.generated.SegmentStatus
import org.cicadaturn.schema.generated.SegmentTrial
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.tasks.Supervisor
import org.cicadaturn.tasks.applyLatest
import org.cicadaturn.tasks.sendAndAwait
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Starts the task in [scope]. */
internal fun startQuarantine(
    scope: CoroutineScope,
    dependencies: QuarantineDependencies,
    supervisor: Supervisor = Supervisor(dependencies.clock),
): Quarantine = QuarantineTask(scope, dependencies, supervisor).also { it.start() }

private class QuarantineTask(
    private val scope: CoroutineScope,
    private val dependencies: QuarantineDependencies,
    private val supervisor: Supervisor,
) : Quarantine {
    /** Requests that were lost at an endpoint, until it is known whether the endpoint has crashed. */
    private class Losses(
        val endpoint: LiveEndpoint,
    ) {
        val prompts = mutableListOf<LostPrompt>()
        val replies = mutableListOf<CompletableDeferred<Unit>>()
    }

    private val self = dependencies.self
    private val quarantine = dependencies.quarantine
    private val trials = dependencies.trials
    private val clock = dependencies.clock
    private val published = MutableStateFlow(SuspicionView())
    override val view: StateFlow<SuspicionView> = published

    // Unbounded, because answers and ends of trials must be counted on cancellation too; each request in progress has a
    // few messages here.
    private val messages = Channel<QuarantineMessage>(Channel.UNLIMITED)
    private val losses = HashMap<EndpointId, Losses>()
    private val reported = LinkedHashMap<EndpointId, CrashReport>()
    private val heldBackSinceAnswer = HashMap<ServiceId, Int>()
    private val copies = refusedCopies()
    private var isStoring = false

    fun start() {
        supervisor.start(scope, QUARANTINE_TASK) {
            launch {
                dependencies.askPeers(supervisor) { send(QuarantineMessage.PeersAnswered(listOf(it), report = null)) }
            }
            launch {
                dependencies.fleet.state
                    .map { it.view.quarantine }
                    .distinctUntilChanged()
                    .applyLatest { entries -> sendAndAwait { send(QuarantineMessage.Listed(entries, it)) } }
            }
            launch { rewriteMissing(dependencies) }
            processMessages()
        }
    }

    private fun send(message: QuarantineMessage) {
        messages.trySend(message)
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun processMessages() {
        while (true) {
            select {
                messages.onReceive { receive(it) }
                // Confidence falls with time, without a message.
                if (published.value.suspicions.isNotEmpty()) onTimeout(REVIEW_INTERVAL) { publish() }
            }
        }
    }

    private fun receive(message: QuarantineMessage) {
        supervisor.attempt(QUARANTINE_TASK, message) { handle(message) } ?: reject(message)
    }

    /**
     * Answers a message that could not be handled, so that no request waits for it; a trial is not permitted.
     *
     * A trial that does not end would prevent all later ones of its service. What is lost with the others is evidence
     * about prompts, which the next crashes and answers replace.
     */
    private fun reject(message: QuarantineMessage) {
        when (message) {
            is QuarantineMessage.Lost -> message.reply.complete(Unit)
            is QuarantineMessage.Claim -> message.reply.complete(false)
            is QuarantineMessage.ClaimAnswered -> {
                message.reply.complete(false)
                endTrial(message.service)
            }
            is QuarantineMessage.EndTrial ->
                scope.launch {
                    delay(END_RETRY_DELAY)
                    send(message)
                }
            is QuarantineMessage.Listed -> message.isApplied.complete(false)
            is QuarantineMessage.Received -> message.reply.complete(QuarantineNews())
            is QuarantineMessage.GetStatus -> message.reply.complete(emptyList())
            QuarantineMessage.UpdateStore -> isStoring = false
            else -> Unit
        }
    }

    /** Runs [call] beside this task, which gets its result, or [fallback] if it fails. */
    private fun launchCall(
        fallback: QuarantineMessage,
        call: suspend () -> QuarantineMessage,
    ) {
        scope.launch { send(supervisor.attempt(QUARANTINE_TASK, fallback) { call() } ?: fallback) }
    }

    private fun handle(message: QuarantineMessage) {
        val now = clock.now()
        when (message) {
            is QuarantineMessage.Lost -> collect(message)
            is QuarantineMessage.Probed -> finish(message)
            is QuarantineMessage.Answered -> recordAnswer(message)
            is QuarantineMessage.Observed -> dependencies.weights.observed(message.service, message.times)
            is QuarantineMessage.HeldBack -> countHeldBack(message.service)
            is QuarantineMessage.CopyRefused -> if (copies.refused(message.request)) publish()
            is QuarantineMessage.Claim -> claim(message)
            is QuarantineMessage.ClaimAnswered -> decideClaim(message)
            is QuarantineMessage.EndTrial -> end(message.service)
            is QuarantineMessage.Received -> message.reply.complete(merge(message.news))
            is QuarantineMessage.PeersAnswered -> mergeAnswers(message)
            is QuarantineMessage.Listed -> {
                quarantine.listed(message.entries, now, dependencies.wallClock.now())
                publish()
                message.isApplied.complete(true)
            }
            QuarantineMessage.UpdateStore -> updateStore()
            QuarantineMessage.StoreUpdated -> isStoring = false
            is QuarantineMessage.GetStatus -> message.reply.complete(quarantine.status(now))
        }
    }

    /** Collects the requests that are lost at an endpoint at about the same time, and finds out whether it has crashed. */
    private fun collect(message: QuarantineMessage.Lost) {
        val endpoint = message.request.endpoint
        val prompt = dependencies.weights.lostPromptOf(message.request)
        val known = losses[endpoint.id]
        val collected = known ?: Losses(endpoint).also { losses[endpoint.id] = it }
        collected.prompts += prompt
        collected.replies += message.reply
        if (known != null) return
        launchCall(QuarantineMessage.Probed(endpoint.id, hasCrashed = false)) {
            delay(COLLECTION_TIME)
            QuarantineMessage.Probed(endpoint.id, dependencies.hasCrashedAlone(endpoint))
        }
    }

    private fun finish(message: QuarantineMessage.Probed) {
        val collected = losses.remove(message.endpoint) ?: return
        val endpoint = collected.endpoint
        try {
            if (message.hasCrashed && dependencies.isInService(endpoint)) {
                report(endpoint, collected.prompts)
            } else {
                logger.info(
                    "quarantine: {} requests lost at {}, which has not crashed",
                    collected.prompts.size,
                    endpoint.id,
                )
            }
        } finally {
            collected.replies.forEach { it.complete(Unit) }
        }
    }

    private fun report(
        endpoint: LiveEndpoint,
        prompts: List<LostPrompt>,
    ) {
        val now = clock.now()
        val known = reported[endpoint.id]?.lost.orEmpty()
        val report =
            CrashReport(self, endpoint.service, endpoint.id, endpoint.startedAt, Duration.ZERO, known + prompts)
        reported[endpoint.id] = report
        if (reported.size > MAX_REPORTED) reported.remove(reported.keys.first())
        logger.warn("quarantine: {} crashed, lost requests: {}", endpoint.id, textOf(report.lost))
        if (known.isEmpty()) dependencies.metrics.crashed(endpoint.service)
        quarantine.crashed(report, now)
        publish()
        val news = QuarantineNews(crashes = listOf(report), answered = quarantine.answersTo(report.suspects, now))
        scope.launch { send(QuarantineMessage.PeersAnswered(dependencies.broadcast(news), report)) }
    }

    /**
     * Adds what the other processes answered. What they know about the prompts of a report is sent to all, as each of
     * them has answered only to this process.
     */
    private fun mergeAnswers(message: QuarantineMessage.PeersAnswered) {
        val now = clock.now()
        val isNew = message.answers.map { quarantine.merge(it, now) }.any { it }
        if (!isNew) return
        publish()
        val report = message.report ?: return
        val news = QuarantineNews(answered = quarantine.answersTo(report.suspects, now))
        scope.launch { dependencies.broadcast(news) }
    }

    private fun merge(news: QuarantineNews): QuarantineNews {
        val now = clock.now()
        news.trials.forEach { trials.seen(it, now) }
        if (quarantine.merge(news, now)) publish()
        if (news.isQuery) return quarantine.news(now).copy(trials = trials.own())
        val segments = news.crashes.flatMapTo(HashSet()) { it.suspects }
        return QuarantineNews(answered = quarantine.answersTo(segments, now), trials = trials.own())
    }

    private fun recordAnswer(message: QuarantineMessage.Answered) {
        val now = clock.now()
        heldBackSinceAnswer.remove(message.service)
        val answered =
            message.segments.map { ServiceSegment(message.service, it) } +
                listOfNotNull(message.request?.let { requestSegment(message.service, it) })
        val doubtful = answered.filter { it in published.value }
        quarantine.answered(message.service, message.organisation, message.segments, now, message.request)
        if (doubtful.isEmpty()) return
        publish()
        val answers = quarantine.answersTo(doubtful, now)
        scope.launch { dependencies.broadcast(QuarantineNews(answered = answers)) }
    }

    private fun countHeldBack(service: ServiceId) {
        val count = (heldBackSinceAnswer[service] ?: 0) + 1
        heldBackSinceAnswer[service] = count
        if (count == MAX_HELD_BACK) publish()
    }

    private fun claim(message: QuarantineMessage.Claim) {
        val claim = trials.claim(message.service, clock.now())
        if (claim == null) {
            message.reply.complete(false)
            return
        }
        launchCall(QuarantineMessage.ClaimAnswered(message.service, answers = null, message.reply)) {
            val answers = dependencies.broadcast(QuarantineNews(trials = listOf(claim)), CLAIM_TIMEOUT)
            QuarantineMessage.ClaimAnswered(message.service, answers.flatMap { it.trials }, message.reply)
        }
    }

    private fun decideClaim(message: QuarantineMessage.ClaimAnswered) {
        val isStarted = message.answers != null && trials.start(message.service, message.answers)
        // The other processes respect the claim until they learn that it was given up.
        if (!isStarted) end(message.service)
        message.reply.complete(isStarted)
    }

    private fun end(service: ServiceId) {
        trials.end(service)
        val over = SegmentTrial(self, service, isGranted = true, isOver = true)
        scope.launch { dependencies.broadcast(QuarantineNews(trials = listOf(over))) }
    }

    private fun publish() {
        val now = clock.now()
        val before = published.value
        val blocked = heldBackSinceAnswer.filterValues { it >= MAX_HELD_BACK }.keys.toSet()
        val view = quarantine.view(now)
        val after = view.copy(blocked = blocked, waiting = copies.waiting(view.suspicions, groupedServices()))
        published.value = after
        logger.logChanges(before, after)
        dependencies.metrics.suspicions(after)
        scheduleStoreUpdate()
    }

    private fun groupedServices(): Set<ServiceId>? =
        dependencies.fleet.state.value.view.configuration
            ?.services
            ?.filter { it.experts != null }
            ?.mapTo(HashSet()) { it.id }

    /**
     * Brings the list in the store up to date, one call at a time. It waits until the other processes have told what they
     * have answered, as an entry outlasts the evidence for it. All processes come to the same conclusions then, so each
     * waits for a random time longer, after which another one has usually written.
     */
    private fun scheduleStoreUpdate() {
        if (isStoring || changes().isEmpty) return
        isStoring = true
        scope.launch {
            delay(ANSWER_TIMEOUT + MAX_STORE_DELAY * dependencies.random.nextDouble())
            send(QuarantineMessage.UpdateStore)
        }
    }

    private fun updateStore() {
        val due = changes()
        launchCall(QuarantineMessage.StoreUpdated) {
            due.added.forEach { entry -> logger.logFailure("add", dependencies.store.quarantine(entry).leftOrNull()) }
            due.removed.forEach { segment ->
                logger.logFailure("remove", dependencies.store.release(segment).leftOrNull())
            }
            QuarantineMessage.StoreUpdated
        }
    }

    private fun changes() = quarantine.changes(clock.now(), dependencies.wallClock.now())

    override suspend fun lost(request: LostRequest) {
        val reply = CompletableDeferred<Unit>()
        send(QuarantineMessage.Lost(request, reply))
        reply.await()
    }

    override fun answered(
        service: ServiceId,
        organisation: OrganisationId?,
        segments: List<PromptSegmentId>,
        request: Digest?,
    ) = send(QuarantineMessage.Answered(service, organisation, segments, request))

    override fun observed(
        service: ServiceId,
        times: Map<AnswerProgress, Duration>,
    ) = send(QuarantineMessage.Observed(service, times))

    override fun heldBack(service: ServiceId) = send(QuarantineMessage.HeldBack(service))

    override fun copyRefused(request: ServiceSegment) = send(QuarantineMessage.CopyRefused(request))

    override suspend fun claimTrial(service: ServiceId): Boolean {
        val reply = CompletableDeferred<Boolean>()
        send(QuarantineMessage.Claim(service, reply))
        try {
            return reply.await()
        } catch (e: CancellationException) {
            endTrial(service)
            throw e
        }
    }

    override fun endTrial(service: ServiceId) = send(QuarantineMessage.EndTrial(service))

    override suspend fun receive(news: QuarantineNews): QuarantineNews {
        val reply = CompletableDeferred<QuarantineNews>()
        send(QuarantineMessage.Received(news, reply))
        return reply.await()
    }

    override suspend fun status(): List<SegmentStatus> {
        val reply = CompletableDeferred<List<SegmentStatus>>()
        send(QuarantineMessage.GetStatus(reply))
        return reply.await()
    }

    private companion object {
        val logger = LogManager.getLogger(QuarantineTask::class.java)

        /** The connections of a process that has ended are reset within a few milliseconds. */
        val COLLECTION_TIME = 10.milliseconds

        /** Time between two reviews of the suspicions, and between two attempts to bring the store up to date. */
        val REVIEW_INTERVAL = 2.seconds

        /** Longest wait for objections to a trial; a process that does not answer within it has probably ended. */
        val CLAIM_TIMEOUT = 150.milliseconds

        /** Bounds the log lines of a defect that prevents the end of a trial each time. */
        val END_RETRY_DELAY = 1.seconds

        /** Requests in a row that are held back, without an answer of their service, until one of them is tried. */
        const val MAX_HELD_BACK = 50

        /** Longest further delay of a write that any process could do. */
        val MAX_STORE_DELAY = 300.milliseconds

        /** Own reports that may still get further prompts, which arrive within a fraction of a second. */
        const val MAX_REPORTED = 16
    }
}
