package org.cicadaturn.bench.endpointlimits

import org.cicadaturn.schema.generated.EndpointLimitPolicy
import org.cicadaturn.schema.generated.EndpointLimitsBenchOptions
import org.cicadaturn.schema.generated.EndpointLimitsBenchResult
import org.cicadaturn.schema.generated.EndpointLimitsRun
import org.cicadaturn.schema.generated.LimitNewsTraffic
import java.util.Locale

/**
 * Compares how gateways keep to limits that endpoints name, on a model of endpoints and callers in virtual time; the
 * result depends only on [options].
 */
public fun endpointLimitsBench(options: EndpointLimitsBenchOptions): EndpointLimitsBenchResult {
    require(options.limited <= options.endpoints) { "limited is ${options.limited}; give at most the endpoints" }
    require(options.seconds >= MIN_SECONDS) { "seconds is ${options.seconds}; give at least $MIN_SECONDS" }
    val runs =
        listOf(options.limited, options.endpoints).distinct().flatMap { limited ->
            listOf(true, false).flatMap { isEven ->
                EndpointLimitPolicy.entries.map { EndpointLimitsRunner(options, it, limited, isEven).run() }
            }
        }
    return EndpointLimitsBenchResult(options, runs, listOf(newsTraffic(options.seed), leaseTraffic()))
}

/** The limits hold from 5 s after the beginning to 10 s before the end, and count after 3 s and for some windows. */
private const val MIN_SECONDS = 30

/** Returns [result] as text for a terminal. */
public fun renderEndpointLimits(result: EndpointLimitsBenchResult): String =
    (result.runs.map { renderRun(it) } + result.traffic.map { renderTraffic(it) }).joinToString("\n")

private fun renderRun(run: EndpointLimitsRun): String =
    (
        "%s, %d limited, %s load: worst 4 s %d of %d allowed; used share %.3f; served %.3f; refused at first " +
            "%.3f after %.0f ms, told to return after %.0f ms, then served %.3f; recovered after %.0f s"
    ).format(
        Locale.ROOT,
        run.policy,
        run.limited,
        if (run.isEven) "even" else "uneven",
        run.worst,
        run.allowed,
        run.usedShare,
        run.served,
        run.refused,
        run.refusedAfterMs,
        run.retryAfterMs,
        run.returnedServed,
        run.recoverySeconds,
    )

private fun renderTraffic(traffic: LimitNewsTraffic): String =
    "%s: %.1f messages and %.0f bytes a second sent by each gateway, %.4f of the news not heard, the last after %.2f s"
        .format(
            Locale.ROOT,
            traffic.name,
            traffic.messages,
            traffic.bytes,
            traffic.unreached,
            traffic.slowestSeconds,
        )
