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

/** Part of an encoded configuration in one frame, well below the frame limit. */
private const val PART_BYTES = 256 * 1024

/** Most parts of a value; an object of the store holds at most 1 MB. */
private const val MAX_PARTS = 16

/** Frames that wait for an exchange; the oldest is dropped when full, because offers are repeated. */
private const val INBOX_FRAMES = 16

/** Time between offers of an unchanged revision, which repair a lost one. */
private val OFFER_INTERVAL: Duration = 1.seconds

/**
 * Keeps the configurations at both ends of [link] the same.
 *
 * Each side offers its revision on a change and each second; the side that has a lower one asks for the
 * value. [run] owns the parts of a value that is being received.
 */
internal class ConfigurationExchange(
    private val link: FrameLink,
    private val configurationManager: ConfigurationManager,
) {
    private val inbox = Channel<Frame>(INBOX_FRAMES, BufferOverflow.DROP_OLDEST)
    private var parts = emptyMap<Int, ByteArray>()
    private var partsOf: Revision? = null

    /** Takes [frame] if it belongs to the exchange; never suspends. */
    fun accept(frame: Frame): Boolean {
        val mine =
            frame is Frame.ConfigurationOffer ||
                frame is Frame.ConfigurationRequest ||
                frame is Frame.ConfigurationValue
        if (mine) inbox.trySend(frame)
        return mine
    }

    /** Works until it is cancelled or the link ends. */
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
        val n = (bytes.size + PART_BYTES - 1) / PART_BYTES
        repeat(n) { i ->
            val data = bytes.copyOfRange(i * PART_BYTES, minOf(bytes.size, (i + 1) * PART_BYTES))
            link.send(Frame.ConfigurationValue(configuration.revision, i, n, data))
        }
    }

    private suspend fun receiveValue(frame: Frame.ConfigurationValue) {
        if (frame.parts !in 1..MAX_PARTS || frame.part !in 0 until frame.parts) return
        if (partsOf != frame.revision) parts = emptyMap()
        partsOf = frame.revision
        parts = parts + (frame.part to frame.data)
        if (parts.size < frame.parts) return
        val bytes = (0 until frame.parts).map { parts.getValue(it) }.reduce(ByteArray::plus)
        parts = emptyMap()
        val value: Either<String, Configuration> = unpackConfiguration(bytes)
        value.onRight { configurationManager.offer(it, ConfigurationSource.PEER) }
    }
}
