package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.flow.MutableStateFlow
import org.cicadaturn.decisions.gateway.EventNumberEvidence
import org.cicadaturn.decisions.gateway.EventNumbering
import org.cicadaturn.decisions.gateway.NumberSighting
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.tasks.Supervisor

/** Knows how the endpoints of each service number the events of streams. */
internal interface EventNumberRecord {
    /** Returns how the events of the next answer of [service] must be numbered. */
    fun numberingOf(service: ServiceId): EventNumbering

    /** Returns true if a gap of [service] that a further endpoint confirms is sound. */
    fun acceptsConfirmation(service: ServiceId): Boolean

    /** Records what an answer of [endpoint] has shown; [serviceSize], the number of endpoints, matters for gaps only. */
    fun seen(
        service: ServiceId,
        endpoint: EndpointId,
        sighting: NumberSighting,
        serviceSize: Int,
    )
}

/** Returns the record for the setting [choice]: a numbering, or "learned" for one that a task in [scope] learns. */
internal fun startEventNumberRecord(
    choice: String,
    scope: CoroutineScope,
    supervisor: Supervisor,
): EventNumberRecord {
    if (choice != LEARNED) return FixedEventNumbers(EventNumbering.valueOf(choice.uppercase()))
    return EventNumberTask().also { task -> supervisor.start(scope, "event numbers") { task.processMessages() } }
}

private class FixedEventNumbers(
    private val numbering: EventNumbering,
) : EventNumberRecord {
    override fun numberingOf(service: ServiceId): EventNumbering = numbering

    override fun acceptsConfirmation(service: ServiceId): Boolean = false

    override fun seen(
        service: ServiceId,
        endpoint: EndpointId,
        sighting: NumberSighting,
        serviceSize: Int,
    ): Unit = Unit
}

private class EventNumberTask : EventNumberRecord {
    private class Seen(
        val service: ServiceId,
        val endpoint: EndpointId,
        val sighting: NumberSighting,
        val serviceSize: Int,
    )

    // Bounded; while it is full, sightings are dropped, as later answers show the same.
    private val messages = Channel<Seen>(QUEUED_SIGHTINGS)
    private val published = MutableStateFlow(emptyMap<ServiceId, EventNumberEvidence>())

    private fun evidenceOf(service: ServiceId) = published.value[service] ?: EventNumberEvidence()

    override fun numberingOf(service: ServiceId): EventNumbering = evidenceOf(service).numbering

    override fun acceptsConfirmation(service: ServiceId): Boolean = evidenceOf(service).acceptsConfirmation

    override fun seen(
        service: ServiceId,
        endpoint: EndpointId,
        sighting: NumberSighting,
        serviceSize: Int,
    ) {
        val known = evidenceOf(service)
        // Most answers show nothing new.
        if (known.plus(endpoint, sighting, serviceSize) == known) return
        messages.trySend(Seen(service, endpoint, sighting, serviceSize))
    }

    suspend fun processMessages() {
        for (message in messages) {
            val evidence =
                evidenceOf(message.service).plus(message.endpoint, message.sighting, message.serviceSize)
            published.value += (message.service to evidence)
        }
    }

    private companion object {
        const val QUEUED_SIGHTINGS = 256
    }
}

private const val LEARNED = "learned"
