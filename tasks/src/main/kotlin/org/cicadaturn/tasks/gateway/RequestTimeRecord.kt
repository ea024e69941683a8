package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import org.cicadaturn.decisions.gateway.RequestTimes
import org.cicadaturn.decisions.gateway.requestTimeTracker
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.tasks.Supervisor
import kotlin.time.Clock
import kotlin.time.Duration

/** Task that keeps the recent times from the sending of a request to the end of its answer. */
internal interface RequestTimeRecord {
    /** Recent times by service. */
    val recent: StateFlow<Map<ServiceId, RequestTimes>>

    /** Records that a request to [service] was answered, or reached its limit, [time] after it was sent. */
    fun answered(
        service: ServiceId,
        time: Duration,
    )
}

/** Starts the task in [scope]. */
internal fun startRequestTimeRecord(
    scope: CoroutineScope,
    clock: Clock,
    supervisor: Supervisor = Supervisor(clock),
): RequestTimeRecord =
    RequestTimeTask(clock).also { task -> supervisor.start(scope, "request times") { task.processMessages() } }

private class RequestTimeTask(
    private val clock: Clock,
) : RequestTimeRecord {
    private class Answered(
        val service: ServiceId,
        val time: Duration,
    )

    // Bounded; while it is full, times are dropped, as the others tell nearly the same.
    private val messages = Channel<Answered>(QUEUED_TIMES)
    private val published = MutableStateFlow(emptyMap<ServiceId, RequestTimes>())

    override val recent: StateFlow<Map<ServiceId, RequestTimes>> = published

    override fun answered(
        service: ServiceId,
        time: Duration,
    ) {
        messages.trySend(Answered(service, time))
    }

    suspend fun processMessages() {
        val tracker = requestTimeTracker()
        for (message in messages) {
            val now = clock.now()
            tracker.answered(message.service, message.time, now)
            published.value = tracker.current(now)
        }
    }

    private companion object {
        const val QUEUED_TIMES = 256
    }
}
