package org.cicadaturn.daemons.site

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.seconds

/**
 * Selects the gateway of each new connection by a hash, among those of the caller's zone that are in rotation.
 *
 * A gateway is in rotation until two readiness checks in a row have failed, and from the next one that succeeds.
 */
internal class Ingress(
    private val gateways: List<GatewayProcess>,
) {
    private val misses = MutableStateFlow(List(gateways.size) { 0 })

    fun start(scope: CoroutineScope) =
        scope.launch {
            while (true) {
                check()
                delay(1.seconds)
            }
        }

    private suspend fun check() {
        val isReady = coroutineScope { gateways.map { async { it.isReady() } }.awaitAll() }
        misses.value = misses.value.zip(isReady) { missed, ready -> if (ready) 0 else missed + 1 }
    }

    /** Returns the gateway for a connection with [hash] of a caller in [zone], if possible another one than [last]. */
    fun gatewayFor(
        zone: String,
        hash: Int,
        last: GatewayAddresses?,
    ): GatewayAddresses {
        val choices = choicesIn(zone)
        return (choices - setOfNotNull(last)).ifEmpty { choices }.let { it[Math.floorMod(hash, it.size)] }
    }

    private fun choicesIn(zone: String): List<GatewayAddresses> {
        val missed = misses.value
        val byZone = gateways.indices.groupBy { gateways[it].addresses.zone }
        val nearest = listOf(zone) + (ZONES - zone)
        for (members in nearest.mapNotNull { byZone[it] }) {
            val inRotation = members.filter { missed[it] < MISSES }
            // With fewer than half of the gateways of a zone, the platform uses all of them.
            val used = if (inRotation.size * 2 < members.size) members else inRotation
            if (inRotation.isNotEmpty()) return used.map { gateways[it].addresses }
        }
        return gateways.map { it.addresses }
    }

    private companion object {
        const val MISSES = 2
    }
}
