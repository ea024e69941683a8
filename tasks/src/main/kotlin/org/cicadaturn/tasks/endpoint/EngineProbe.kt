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

/** Time after which a report is late, in intervals between reports. */
private const val LATE_INTERVALS = 4

/** Late reports in a row after which an engine counts as unreachable: 3.5 s at the default interval of 250 ms. */
private const val MAX_LATE_REPORTS = 3

/** Reads the load report of an engine; returns null if the engine gives none. */
internal typealias LoadReader = suspend () -> EngineLoad?

/** Returns a reader that asks the engine at [address] by HTTP. */
internal fun httpLoadReader(
    client: HttpClient,
    address: NetworkAddress,
): LoadReader = { readLoad(client, address) }

/**
 * Calls [read] every [interval] and passes the report to [gate], until it is cancelled.
 *
 * [onReachable] is called with true after each report and with false after a failure. A report that is late may be late
 * for want of processor time in this process, so only [MAX_LATE_REPORTS] in a row count as a failure.
 */
internal suspend fun probeEngine(
    interval: Duration,
    gate: Gate,
    read: LoadReader,
    onReachable: (Boolean) -> Unit,
) {
    var late = 0
    while (true) {
        var isLate = true
        val load = withTimeoutOrNull(interval * LATE_INTERVALS) { read().also { isLate = false } }
        late = if (isLate) late + 1 else 0
        if (!isLate || late >= MAX_LATE_REPORTS) onReachable(load != null)
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
