package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.cicadaturn.decisions.gateway.EndpointBalancer
import org.cicadaturn.decisions.gateway.EndpointChoice
import org.cicadaturn.decisions.gateway.EndpointRequest
import org.cicadaturn.decisions.gateway.EndpointUse
import org.cicadaturn.decisions.gateway.FleetState
import org.cicadaturn.decisions.gateway.LoadSample
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.ServiceId
import kotlin.time.Clock
import kotlin.time.Duration

/** The task that owns the process's balancer. */
public interface Balancer {
    /** Counts a caller's request for [service]. */
    public suspend fun arrived(service: ServiceId)

    /** Returns the endpoint for [request] and counts it there until [finished]. */
    public suspend fun choose(request: EndpointRequest): EndpointChoice

    /** Ends the count of a request at [endpoint]; never waits, so that it can be called on cancellation. */
    public fun finished(
        endpoint: EndpointId,
        use: EndpointUse,
    )

    /** Tells that [endpoint] accepted a request. */
    public fun accepted(endpoint: EndpointId)

    /** Waits until an endpoint of [service] accepts a request, [limit] at most. */
    public suspend fun awaitAcceptance(
        service: ServiceId,
        limit: Duration,
    )

    /** Tells what [endpoint] said of its load. */
    public fun loadReported(
        endpoint: EndpointId,
        load: LoadSample,
    )
}

/** Starts a task in [scope] that owns [balancer] and follows [fleet]. */
public fun startBalancer(
    scope: CoroutineScope,
    balancer: EndpointBalancer,
    fleet: Fleet,
    clock: Clock,
): Balancer {
    val task = BalancerTask(balancer, clock)
    scope.launch { task.own() }
    scope.launch { fleet.state.collect { task.send(BalancerMessage.Updated(it)) } }
    return task
}

private sealed interface BalancerMessage {
    class Updated(
        val state: FleetState,
    ) : BalancerMessage

    class Arrived(
        val service: ServiceId,
    ) : BalancerMessage

    class Choose(
        val request: EndpointRequest,
        val reply: CompletableDeferred<EndpointChoice>,
    ) : BalancerMessage

    class Finished(
        val endpoint: EndpointId,
        val use: EndpointUse,
    ) : BalancerMessage

    class Accepted(
        val endpoint: EndpointId,
    ) : BalancerMessage

    class Await(
        val service: ServiceId,
        val reply: CompletableDeferred<Unit>,
    ) : BalancerMessage

    class Loaded(
        val endpoint: EndpointId,
        val load: LoadSample,
    ) : BalancerMessage
}

private class BalancerTask(
    private val balancer: EndpointBalancer,
    private val clock: Clock,
) : Balancer {
    // Unbounded, as an end must be counted also on cancellation; each request in progress has at most three here.
    private val messages = Channel<BalancerMessage>(Channel.UNLIMITED)

    private val waiting = HashMap<ServiceId, MutableList<CompletableDeferred<Unit>>>()

    suspend fun own() {
        for (message in messages) take(message)
    }

    fun send(message: BalancerMessage) {
        messages.trySend(message)
    }

    private fun take(message: BalancerMessage) {
        val now = clock.now()
        when (message) {
            is BalancerMessage.Updated -> balancer.update(message.state.view, now)
            is BalancerMessage.Arrived -> balancer.arrived(message.service, now)
            is BalancerMessage.Choose -> answer(message)
            is BalancerMessage.Finished -> balancer.finished(message.endpoint, message.use, now)
            is BalancerMessage.Accepted -> release(message.endpoint)
            is BalancerMessage.Await -> waiting.getOrPut(message.service) { mutableListOf() } += message.reply
            is BalancerMessage.Loaded -> balancer.loadReported(message.endpoint, message.load, now)
        }
    }

    private fun release(endpoint: EndpointId) {
        balancer.accepted(endpoint)
        val service = balancer.serviceOf(endpoint) ?: return
        waiting.remove(service)?.forEach { it.complete(Unit) }
    }

    /** The choice counts at the endpoint, so it is taken back if nobody awaits it any more. */
    private fun answer(message: BalancerMessage.Choose) {
        val choice = balancer.choose(message.request, clock.now())
        if (message.reply.complete(choice)) return
        if (choice is EndpointChoice.Chosen) balancer.finished(choice.endpoint.id, EndpointUse.Abandoned, clock.now())
    }

    override suspend fun arrived(service: ServiceId) {
        send(BalancerMessage.Arrived(service))
    }

    override suspend fun choose(request: EndpointRequest): EndpointChoice {
        val reply = CompletableDeferred<EndpointChoice>()
        send(BalancerMessage.Choose(request, reply))
        try {
            return reply.await()
        } catch (e: CancellationException) {
            reply.cancel()
            takeBack(reply)
            throw e
        }
    }

    private fun takeBack(reply: CompletableDeferred<EndpointChoice>) {
        val choice = reply.getCompletedOrNull()
        if (choice is EndpointChoice.Chosen) finished(choice.endpoint.id, EndpointUse.Abandoned)
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

    override suspend fun awaitAcceptance(
        service: ServiceId,
        limit: Duration,
    ) {
        val reply = CompletableDeferred<Unit>()
        send(BalancerMessage.Await(service, reply))
        withTimeoutOrNull(limit) { reply.await() }
    }

    override fun loadReported(
        endpoint: EndpointId,
        load: LoadSample,
    ) {
        send(BalancerMessage.Loaded(endpoint, load))
    }
}

@OptIn(kotlinx.coroutines.ExperimentalCoroutinesApi::class)
private fun <T> CompletableDeferred<T>.getCompletedOrNull(): T? =
    if (isCompleted &&
        !isCancelled
    ) {
        getCompleted()
    } else {
        null
    }
