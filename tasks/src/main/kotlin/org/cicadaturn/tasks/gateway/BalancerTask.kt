package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import org.apache.logging.log4j.LogManager
import org.cicadaturn.decisions.dispatch.DispatchDecision
import org.cicadaturn.decisions.dispatch.DispatchRequest
import org.cicadaturn.decisions.dispatch.DispatchTicket
import org.cicadaturn.decisions.gateway.EndpointRequest
import org.cicadaturn.decisions.gateway.EndpointUse
import org.cicadaturn.decisions.gateway.LoadSample
import org.cicadaturn.decisions.gateway.Unavailability
import org.cicadaturn.decisions.gateway.applyView
import org.cicadaturn.decisions.ratelimit.NamedLimit
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.tasks.Supervisor
import org.cicadaturn.tasks.applyLatest
import org.cicadaturn.tasks.completedValueOrNull
import org.cicadaturn.tasks.sendAndAwait
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Starts a task in [scope] that places requests and is updated on each change of the fleet.
 *
 * It keeps its state after a failure, as the rates of cold endpoints would be exceeded without the earlier requests.
 */
public fun startBalancer(
    scope: CoroutineScope,
    dependencies: BalancerDependencies,
    supervisor: Supervisor = Supervisor(dependencies.clock),
): Balancer {
    val task = BalancerTask(scope, dependencies, supervisor)
    supervisor.start(scope, BALANCER_TASK, isVital = true) {
        launch {
            dependencies.fleet.state.applyLatest { state ->
                sendAndAwait { task.send(BalancerMessage.Updated(state, it)) }
            }
        }
        task.processMessages()
    }
    return task
}

private class BalancerTask(
    private val scope: CoroutineScope,
    private val dependencies: BalancerDependencies,
    private val supervisor: Supervisor,
) : Balancer {
    private val balancer = dependencies.balancer
    private val dispatcher = dependencies.dispatcher
    private val clock = dependencies.clock

    // Unbounded, because the end of a request must be counted on cancellation too; each request in progress has at
    // most four messages here.
    private val messages = Channel<BalancerMessage>(Channel.UNLIMITED)

    private class WaitingRequest(
        val service: ServiceId,
        val outcome: CompletableDeferred<Placement>,
    )

    private val waiting = HashMap<DispatchTicket, WaitingRequest>()
    private val isolation = MutableStateFlow(false)
    override val isIsolated: StateFlow<Boolean> = isolation
    override val limits = BalancerLimits(::send)
    override val notices = BalancerNotices(::send)
    private val unreadable = UnreadableLimits()
    private val noticeLog = NoticeLog()
    private var lastTicket = 0L

    /** View of the fleet that the endpoint balancer has. */
    private var view = FleetView()

    @OptIn(ExperimentalCoroutinesApi::class)
    suspend fun processMessages() {
        while (true) {
            val now = clock.now()
            val next = listOfNotNull(dispatcher.nextEvent(now), balancer.nextAsk(now)).minOrNull()
            // A receive that is cancelled by a time-out may lose a message; the selection of one of both does not.
            select {
                messages.onReceive { receive(it) }
                if (next != null) onTimeout(next - now) {}
            }
            while (true) receive(messages.tryReceive().getOrNull() ?: break)
            dispatcher.advance(clock.now()).forEach { decide(it) }
            askGroups()
            if (balancer.hasLimitNews || balancer.notices.hasNews) limits.changed()
            isolation.value = balancer.isIsolated(clock.now())
        }
    }

    private fun askGroups() {
        for (endpoint in balancer.endpointsToAsk(clock.now())) {
            scope.launch { send(BalancerMessage.GroupReported(endpoint.id, dependencies.askGroup(endpoint))) }
        }
    }

    fun send(message: BalancerMessage) {
        messages.trySend(message)
    }

    private fun receive(message: BalancerMessage) {
        supervisor.attempt(BALANCER_TASK, message) { handle(message) } ?: reject(message)
    }

    /**
     * Answers a message that could not be handled.
     *
     * The loss of the others ends by itself: the end of a request is counted first when it is handled, the dispatcher
     * places or rejects a request that was not cancelled, and reports come again.
     */
    private fun reject(message: BalancerMessage) {
        when (message) {
            is BalancerMessage.Updated -> message.isApplied.complete(false)
            is BalancerMessage.Place -> {
                message.reply.complete(Placement.Rejected(Unavailability.DEFECT, DEFECT_RETRY_DELAY))
                // The request may already wait, and would be counted in flight without being sent.
                supervisor.attempt(BALANCER_TASK, message) { cancel(DispatchTicket(lastTicket)) }
            }
            is BalancerMessage.CanPlace -> message.reply.complete(false)
            is BalancerMessage.Stalled -> message.reply.complete(false)
            is BalancerMessage.ReadState<*> -> message.reject()
            else -> Unit
        }
    }

    private fun handle(message: BalancerMessage) {
        val now = clock.now()
        when (message) {
            is BalancerMessage.Updated -> update(message, now)
            is BalancerMessage.Arrived -> balancer.arrived(message.service, now)
            is BalancerMessage.Place -> place(message)
            is BalancerMessage.CanPlace -> message.reply.complete(balancer.canPlace(message.request, now))
            is BalancerMessage.Cancelled -> cancel(message.ticket)
            is BalancerMessage.Finished -> balancer.finished(message.endpoint, message.use, now)
            is BalancerMessage.Accepted -> balancer.accepted(message.endpoint, now)
            is BalancerMessage.Stalled ->
                message.reply.complete(
                    balancer.shouldAbandon(message.endpoint, message.hasBegun, now),
                )
            is BalancerMessage.LoadReported -> balancer.loadReported(message.endpoint, message.load, now)
            is BalancerMessage.Paced -> balancer.paced(message.endpoint, message.ratio, now)
            is BalancerMessage.GroupReported -> balancer.groupReported(message.endpoint, message.report, now)
            is BalancerMessage.LimitNamed -> recordLimit(message)
            is BalancerMessage.LimitsReported -> balancer.limitsReported(message.reports, now)
            is BalancerMessage.Noticed -> recordNotice(message, now)
            is BalancerMessage.DeparturesReported -> recordDepartures(message, now)
            is BalancerMessage.ReadState<*> -> message.answer(balancer, now)
        }
    }

    private fun recordLimit(message: BalancerMessage.LimitNamed) {
        val now = clock.now()
        if (message.limit is NamedLimit.Unreadable) {
            unreadable.textOf(message.endpoint, message.limit, now)?.let { logger.warn("limits: {}", it) }
        }
        balancer.limitNamed(message.endpoint, message.limit, now, message.sentAt)
    }

    private fun recordNotice(
        message: BalancerMessage.Noticed,
        now: Instant,
    ) {
        val isNew = balancer.notices.noticed(message.endpoint, message.notice, now)
        noticeLog.textsOf(message, isNew, now).forEach { logger.info("notices: {}", it) }
        dependencies.onNotice(message.notice)
    }

    private fun recordDepartures(
        message: BalancerMessage.DeparturesReported,
        now: Instant,
    ) {
        val new = balancer.notices.departuresReported(message.reports, now)
        noticeLog.textsOf(new, message.sender).forEach { logger.info("notices: {}", it) }
    }

    private fun update(
        message: BalancerMessage.Updated,
        now: Instant,
    ) {
        val outcome = applyView(view, message.state.view) { balancer.update(it, now) }
        view = outcome.view
        outcome.failure?.let { throw IllegalStateException("endpoints left out: ${outcome.leftOut}", it) }
        message.isApplied.complete(true)
    }

    private fun cancel(ticket: DispatchTicket) {
        dispatcher.cancel(ticket)
        waiting.remove(ticket)
    }

    private fun place(message: BalancerMessage.Place) {
        lastTicket += 1
        val ticket = DispatchTicket(lastTicket)
        val service = message.request.endpoint.service
        val decision = dispatcher.submit(ticket, message.request, clock.now())
        if (decision !is DispatchDecision.Wait) return reply(service, message.reply, decision)
        val outcome = CompletableDeferred<Placement>()
        waiting[ticket] = WaitingRequest(service, outcome)
        if (decision.cause in ASKED_FOR) dependencies.onWithheld(service, decision.cause, LimitAction.WAITED)
        if (!message.reply.complete(Placement.Waiting(decision.cause, ticket, outcome))) cancel(ticket)
    }

    private fun decide(decision: DispatchDecision) {
        waiting.remove(decision.ticket)?.let { reply(it.service, it.outcome, decision) }
    }

    /** Replies with [decision], or stops counting the request at the endpoint if nobody waits for the reply. */
    private fun reply(
        service: ServiceId,
        reply: CompletableDeferred<Placement>,
        decision: DispatchDecision,
    ) {
        val placement =
            when (decision) {
                is DispatchDecision.Place -> Placement.Placed(decision.choice.endpoint)
                is DispatchDecision.Reject ->
                    Placement.Rejected(
                        decision.cause,
                        decision.retryAfter,
                        decision.notBefore,
                    )
                is DispatchDecision.Wait -> return
            }
        if (placement is Placement.Rejected && placement.cause in ASKED_FOR) {
            dependencies.onWithheld(service, placement.cause, LimitAction.REFUSED)
        }
        if (!reply.complete(placement)) undo(placement)
    }

    private fun undo(placement: Placement?) {
        when (placement) {
            is Placement.Placed -> finished(placement.endpoint.id, EndpointUse.Abandoned)
            is Placement.Waiting -> send(BalancerMessage.Cancelled(placement.ticket))
            is Placement.Rejected, null -> Unit
        }
    }

    override suspend fun arrived(service: ServiceId) {
        send(BalancerMessage.Arrived(service))
    }

    override suspend fun place(request: DispatchRequest): Placement {
        val reply = CompletableDeferred<Placement>()
        send(BalancerMessage.Place(request, reply))
        return awaitOrUndo(reply)
    }

    override suspend fun canPlace(request: EndpointRequest): Boolean {
        val reply = CompletableDeferred<Boolean>()
        send(BalancerMessage.CanPlace(request, reply))
        return reply.await()
    }

    override suspend fun await(waiting: Placement.Waiting): Placement {
        try {
            return awaitOrUndo(waiting.outcome)
        } catch (e: CancellationException) {
            send(BalancerMessage.Cancelled(waiting.ticket))
            throw e
        }
    }

    private suspend fun awaitOrUndo(reply: CompletableDeferred<Placement>): Placement {
        try {
            return reply.await()
        } catch (e: CancellationException) {
            reply.cancel()
            undo(reply.completedValueOrNull())
            throw e
        }
    }

    override fun finished(
        endpoint: EndpointId,
        use: EndpointUse,
    ) {
        send(BalancerMessage.Finished(endpoint, use))
    }

    override fun accepted(endpoint: EndpointId) {
        send(BalancerMessage.Accepted(endpoint))
    }

    override fun loadReported(
        endpoint: EndpointId,
        load: LoadSample,
    ) {
        send(BalancerMessage.LoadReported(endpoint, load))
    }

    override fun paced(
        endpoint: EndpointId,
        ratio: Double,
    ) {
        send(BalancerMessage.Paced(endpoint, ratio))
    }

    override suspend fun shouldAbandon(
        endpoint: EndpointId,
        hasBegun: Boolean,
    ): Boolean {
        val reply = CompletableDeferred<Boolean>()
        send(BalancerMessage.Stalled(endpoint, hasBegun, reply))
        return reply.await()
    }

    private companion object {
        val logger = LogManager.getLogger(Balancer::class.java)

        /** Causes that endpoints ask for. */
        val ASKED_FOR = setOf(Unavailability.AT_NAMED_LIMIT, Unavailability.PAUSED, Unavailability.LEAVING)

        /** Delay stated to a caller whose request met a defect. */
        val DEFECT_RETRY_DELAY = 500.milliseconds
    }
}

private const val BALANCER_TASK = "balancer"
