package org.cicadaturn.tasks.configuration

import arrow.core.Either
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.distinctUntilChanged
import kotlinx.coroutines.flow.filterNotNull
import kotlinx.coroutines.flow.map
import kotlinx.coroutines.launch
import org.cicadaturn.decisions.configuration.ConfigurationSource
import org.cicadaturn.schema.generated.Configuration
import org.cicadaturn.schema.generated.Frame
import org.cicadaturn.schema.generated.Revision
import org.cicadaturn.tasks.wire.FrameLink
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Maximum length of the part of an encoded configuration in one frame; well below `MAX_FRAME_BYTES`. */
private const val MAX_PART_BYTES = 256 * 1024

/** Maximum number of parts of an encoded configuration; an object in the store holds at most 1 MB. */
private const val MAX_PARTS = 16

/** Number of frames that may wait; a full queue drops the oldest frame, because offers are repeated. */
private const val FRAME_QUEUE = 16

/** Interval between offers of an unchanged revision, which replace lost offers. */
private val OFFER_INTERVAL: Duration = 1.seconds

/**
 * Synchronises the configurations at both ends of [link] to the higher revision.
 *
 * Each side offers its revision on a change and every second; the side with a lower revision requests the
 * configuration. Only the coroutine that runs [run] accesses the parts of a configuration that is being received.
 */
internal class ConfigurationExchange(
    private val link: FrameLink,
    private val configurationManager: ConfigurationManager,
) {
    private val inbox = Channel<Frame>(FRAME_QUEUE, BufferOverflow.DROP_OLDEST)
    private var parts = emptyMap<Int, ByteArray>()
    private var partsRevision: Revision? = null

    /** Queues [frame] if it belongs to the exchange and returns false otherwise; does not suspend. */
    fun accept(frame: Frame): Boolean {
        val belongsToExchange =
            frame is Frame.ConfigurationOffer ||
                frame is Frame.ConfigurationRequest ||
                frame is Frame.ConfigurationValue
        if (belongsToExchange) inbox.trySend(frame)
        return belongsToExchange
    }

    /** Exchanges configurations until it is cancelled or the link ends. */
    suspend fun run() {
        coroutineScope {
            val revisions =
                configurationManager.inForce
                    .filterNotNull()
                    .map { it.revision }
                    .distinctUntilChanged()
            launch { revisions.collect { link.send(Frame.ConfigurationOffer(it)) } }
            launch { repeatOffers() }
            for (frame in inbox) handle(frame)
        }
    }

    private suspend fun repeatOffers() {
        while (true) {
            delay(OFFER_INTERVAL)
            val revision = configurationManager.inForce.value?.revision ?: continue
            link.send(Frame.ConfigurationOffer(revision))
        }
    }

    private suspend fun handle(frame: Frame) {
        val inForce = configurationManager.inForce.value
        val own = inForce?.revision ?: Revision(0)
        if (frame is Frame.ConfigurationOffer && frame.revision > own) link.send(Frame.ConfigurationRequest(own))
        if (frame is Frame.ConfigurationRequest && inForce != null && own > frame.above) {
            sendValue(inForce.index.configuration)
        }
        if (frame is Frame.ConfigurationValue) receiveValue(frame)
    }

    private suspend fun sendValue(configuration: Configuration) {
        val bytes = packConfiguration(configuration)
        val partCount = (bytes.size + MAX_PART_BYTES - 1) / MAX_PART_BYTES
        repeat(partCount) { i ->
            val data = bytes.copyOfRange(i * MAX_PART_BYTES, minOf(bytes.size, (i + 1) * MAX_PART_BYTES))
            link.send(Frame.ConfigurationValue(configuration.revision, i, partCount, data))
        }
    }

    private suspend fun receiveValue(frame: Frame.ConfigurationValue) {
        if (frame.parts !in 1..MAX_PARTS || frame.part !in 0 until frame.parts) return
        if (partsRevision != frame.revision) parts = emptyMap()
        partsRevision = frame.revision
        parts = parts + (frame.part to frame.data)
        if (parts.size < frame.parts) return
        val bytes = (0 until frame.parts).map { parts.getValue(it) }.reduce(ByteArray::plus)
        parts = emptyMap()
        val value: Either<String, Configuration> = unpackConfiguration(bytes)
        value.onRight { configurationManager.offer(it, ConfigurationSource.PEER) }
    }
}
