package org.cicadaturn.daemons.site

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Planned stops of [gateways] one after the other; with the probability [overlap], the next one joins a stop. */
internal class RollingStops(
    private val gateways: List<GatewayProcess>,
    private val journal: SiteJournal,
    private val random: Random,
    private val overlap: Double,
) {
    /** Stops gateways and starts them again until the time [end] of the journal. */
    suspend fun run(end: Duration) {
        val order = generateSequence { gateways.shuffled(random) }.flatten().iterator()
        delay(FIRST_STOP)
        while (journal.now() < end) {
            coroutineScope {
                val first = order.next()
                launch { replace(first) }
                if (random.nextDouble() < overlap) {
                    delay(random.nextInt(4_000).milliseconds)
                    order.next().takeIf { it != first }?.let { launch { replace(it) } }
                }
            }
            delay(PAUSE)
        }
    }

    private suspend fun replace(gateway: GatewayProcess) {
        val node = gateway.addresses.node
        if (random.nextBoolean()) withTimeoutOrNull(BUSY_WAIT) { journal.streams.first { (it[node] ?: 0) > 0 } }
        val signalAt = journal.now()
        val isKilled = gateway.stop(GRACE)
        journal.record(StopSeen(node, signalAt, journal.now(), isKilled))
        delay(RESTART_DELAY)
        gateway.start()
    }

    private companion object {
        val FIRST_STOP = 1.seconds
        val PAUSE = 1_300.milliseconds
        val RESTART_DELAY = 1.seconds

        /** Longest wait for a stream, so that every other stop begins while the gateway answers one. */
        val BUSY_WAIT = 2.seconds
    }
}
