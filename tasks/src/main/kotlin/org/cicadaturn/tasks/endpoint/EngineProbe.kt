package org.cicadaturn.tasks.endpoint

import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import kotlinx.serialization.json.Json
import org.cicadaturn.schema.generated.EngineLoad
import org.cicadaturn.schema.generated.NetworkAddress
import java.nio.channels.UnresolvedAddressException
import kotlin.time.Duration

private val json = Json { ignoreUnknownKeys = true }

/**
 * Reads the load report of the engine at [address] every [interval] and passes it to [gate], until it is cancelled.
 *
 * [onReachable] is called after each attempt, with true if the engine returned a report.
 */
internal suspend fun probeEngine(
    client: HttpClient,
    address: NetworkAddress,
    interval: Duration,
    gate: Gate,
    onReachable: (Boolean) -> Unit,
) {
    while (true) {
        val load = withTimeoutOrNull(interval * 4) { readLoad(client, address) }
        onReachable(load != null)
        if (load != null) gate.applyEngineReport(load.run, load.cold)
        delay(interval)
    }
}

private suspend fun readLoad(
    client: HttpClient,
    address: NetworkAddress,
): EngineLoad? =
    try {
        json.decodeFromString(
            EngineLoad.serializer(),
            client.get("http://${address.ip}:${address.port}/load").bodyAsText(),
        )
    } catch (e: CancellationException) {
        throw e
    } catch (_: IOException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    } catch (_: UnresolvedAddressException) {
        null
    }
