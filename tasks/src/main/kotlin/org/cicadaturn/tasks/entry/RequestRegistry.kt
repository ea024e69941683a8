package org.cicadaturn.tasks.entry

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.withContext
import org.cicadaturn.decisions.request.RoutedRequest
import org.cicadaturn.decisions.routing.RetryBudget
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.RequestView
import org.cicadaturn.tasks.completedValueOrNull
import kotlin.time.Clock
import kotlin.time.Instant

/** Number of messages that may wait for the registry; a full queue suspends the sender. */
private const val REGISTRY_QUEUE = 1024

/** Identifies a request in the registry; the identifiers that callers give are not always unique. */
@JvmInline
internal value class RequestSlot(
    val number: Long,
)

/** Tracks the requests in flight and the retry budget of the process. */
internal interface RequestRegistry {
    /** Number of requests in flight. */
    val inFlight: StateFlow<Int>

    /** Adds [request]; returns null if the limit of requests in flight is reached. */
    suspend fun begin(request: RoutedRequest): RequestSlot?

    /** Takes one retry from the budget of this process; returns false if none is left. */
    suspend fun tryRetry(): Boolean

    /** Records that the current attempt of [slot] is sent to [endpoint]. */
    suspend fun attemptStarted(
        slot: RequestSlot,
        endpoint: EndpointId,
    )

    /** Removes [slot]. */
    suspend fun end(slot: RequestSlot)

    /** Returns the requests in flight for the state dump, oldest first. */
    suspend fun views(): List<RequestView>
}

private sealed interface RegistryMessage {
    class Begin(
        val request: RoutedRequest,
        val reply: CompletableDeferred<RequestSlot?>,
    ) : RegistryMessage

    class Retry(
        val reply: CompletableDeferred<Boolean>,
    ) : RegistryMessage

    class AttemptStarted(
        val slot: RequestSlot,
        val endpoint: EndpointId,
    ) : RegistryMessage

    class End(
        val slot: RequestSlot,
    ) : RegistryMessage

    class Views(
        val reply: CompletableDeferred<List<RequestView>>,
    ) : RegistryMessage
}

/** Owns the requests in flight and the retry [budget]; only the coroutine that runs [run] accesses them. */
internal class RegistryTask(
    private val limit: Int,
    private val budget: RetryBudget,
    private val clock: Clock,
) : RequestRegistry {
    private class Entry(
        val request: RoutedRequest,
        val startedAt: Instant,
        var endpoint: EndpointId? = null,
    )

    private val messages = Channel<RegistryMessage>(REGISTRY_QUEUE)
    private val entries = LinkedHashMap<RequestSlot, Entry>()
    private val inFlightCount = MutableStateFlow(0)
    private var lastNumber = 0L

    override val inFlight: StateFlow<Int> = inFlightCount.asStateFlow()

    override suspend fun begin(request: RoutedRequest): RequestSlot? {
        val reply = CompletableDeferred<RequestSlot?>()
        messages.send(RegistryMessage.Begin(request, reply))
        try {
            return reply.await()
        } catch (e: CancellationException) {
            reply.cancel()
            // The task may have replied just before the cancellation.
            reply.completedValueOrNull()?.let { slot -> withContext(NonCancellable) { end(slot) } }
            throw e
        }
    }

    override suspend fun tryRetry(): Boolean {
        val reply = CompletableDeferred<Boolean>()
        messages.send(RegistryMessage.Retry(reply))
        return reply.await()
    }

    override suspend fun attemptStarted(
        slot: RequestSlot,
        endpoint: EndpointId,
    ) {
        messages.send(RegistryMessage.AttemptStarted(slot, endpoint))
    }

    override suspend fun end(slot: RequestSlot) {
        messages.send(RegistryMessage.End(slot))
    }

    override suspend fun views(): List<RequestView> {
        val reply = CompletableDeferred<List<RequestView>>()
        messages.send(RegistryMessage.Views(reply))
        return reply.await()
    }

    /** Handles messages until it is cancelled. */
    suspend fun run() {
        for (message in messages) {
            when (message) {
                is RegistryMessage.Begin -> {
                    val slot = begin(message)
                    if (!message.reply.complete(slot)) entries.remove(slot)
                }
                is RegistryMessage.Retry -> message.reply.complete(budget.tryRetry(clock.now()))
                is RegistryMessage.AttemptStarted -> entries[message.slot]?.endpoint = message.endpoint
                is RegistryMessage.End -> entries.remove(message.slot)
                is RegistryMessage.Views -> message.reply.complete(entries.values.map { view(it) })
            }
            inFlightCount.value = entries.size
        }
    }

    private fun begin(message: RegistryMessage.Begin): RequestSlot? {
        if (entries.size >= limit) return null
        budget.request(clock.now())
        val slot = RequestSlot(++lastNumber)
        entries[slot] = Entry(message.request, clock.now())
        return slot
    }

    private fun view(entry: Entry): RequestView =
        RequestView(
            request = entry.request.request.id,
            organisation = entry.request.organisation.id,
            service = entry.request.service.id,
            endpoint = entry.endpoint,
            age = clock.now() - entry.startedAt,
        )
}
