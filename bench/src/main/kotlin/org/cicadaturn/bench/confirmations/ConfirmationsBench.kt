package org.cicadaturn.bench.confirmations

import kotlinx.serialization.json.Json
import org.cicadaturn.decisions.confirmation.LedgerPolicy
import org.cicadaturn.decisions.confirmation.recordBytes
import org.cicadaturn.schema.generated.ConfirmationCapacityReport
import org.cicadaturn.schema.generated.ConfirmationFaultReport
import org.cicadaturn.schema.generated.ConfirmationLoadReport
import org.cicadaturn.schema.generated.ConfirmationsBenchOptions
import org.cicadaturn.schema.generated.ConfirmationsBenchResult
import kotlin.time.Instant

/**
 * Runs random fault histories and load runs of the confirmation ledger in virtual time.
 *
 * Drives the step function that the task of a shard uses. The result depends only on [options].
 */
public fun confirmationsBench(
    options: ConfirmationsBenchOptions = ConfirmationsBenchOptions(),
): ConfirmationsBenchResult =
    ConfirmationsBenchResult(
        options = options,
        faults = faultHistories(options.seed, options.histories),
        load = options.rates.flatMap { loadCases(it) }.map { LoadRun(options, it).run() },
        capacity = listOf(0, 256, 1_024, 4_096, 16_384).map { capacity(options, it) },
    )

/** Returns true if no history broke a rule. */
public fun ConfirmationsBenchResult.isClean(): Boolean = faults.firstViolation == null

private fun capacity(
    options: ConfirmationsBenchOptions,
    answerBytes: Int,
): ConfirmationCapacityReport {
    val bytes = recordBytes(typicalRecord("key", answerBytes, Instant.fromEpochSeconds(0)))
    val perShard = LedgerPolicy().claimBytes / bytes
    val records = perShard * options.shards
    return ConfirmationCapacityReport(
        answerBytes = answerBytes,
        recordBytes = bytes,
        recordsPerShard = perShard,
        records = records,
        perDay = records,
        secondsAtRate = options.rates.map { records / it },
    )
}

private val json = Json { prettyPrint = true }

/** Returns the result as a JSON document. */
public fun ConfirmationsBenchResult.toJson(): String = json.encodeToString(this)

/** Returns the result as text for a terminal. */
public fun ConfirmationsBenchResult.toText(): String =
    buildString {
        appendLine("confirmations, seed ${options.seed}")
        appendFaults(faults)
        appendLine()
        appendLine(
            "Store calls, ${options.shards} shards, ${options.endpoints} endpoint processes, ${options.loadTime}:",
        )
        appendLine("rate  requests    done unknown not_run  writes/s calls/1000 conflicts  kB/s  p50 ms  p99 ms  case")
        load.forEach { appendLine(line(it)) }
        appendLine()
        appendLine("Confirmations that fit into the shards within the retention time of 24 h:")
        appendLine("answer bytes  record bytes  each shard  in all  full after, at rates ${options.rates}")
        capacity.forEach { appendLine(line(it)) }
    }

private fun StringBuilder.appendFaults(report: ConfirmationFaultReport) {
    appendLine("${report.histories} fault histories: ${report.keys} keys, ${report.requests} requests,")
    appendLine("  ${report.attempts} attempts, ${report.runs} runs")
    appendLine("  most runs of a key (at most 1)     ${report.mostRunsOfKey}")
    appendLine("  lost confirmations (0)             ${report.lostConfirmations}")
    appendLine("  false not_run (0)                  ${report.falseNotRun}")
    appendLine("  refused attempts that ran (0)      ${report.refusedRuns}")
    appendLine("  requests without a result (0)      ${report.unanswered}")
    appendLine("  not_run beside a concurrent run    ${report.overlappingNotRun}")
    val leftUnknown = "${report.keysLeftUnknown}, ${unknownPerThousandKeys(report)} per 1000 keys"
    appendLine("  keys left unknown                  $leftUnknown")
    appendLine("  of these, keys that had run        ${report.keysLeftUnknownAfterRun}")
    appendLine("  told: " + report.told.joinToString { "${it.outcome} ${it.requests}" })
    appendLine("  faults: " + report.faults.joinToString { "${it.kind} ${it.count}" })
    report.firstViolation?.let { appendLine("  first violation: $it") }
}

private fun unknownPerThousandKeys(report: ConfirmationFaultReport): Int =
    if (report.keys == 0) 0 else report.keysLeftUnknown * 1_000 / report.keys

private fun line(report: ConfirmationLoadReport): String =
    "%4d %9d %7d %7d %7d %9d %10d %9d %5d %7d %7d  %s".format(
        report.rate,
        report.requests,
        report.done,
        report.toldUnknown,
        report.toldNotRun,
        report.writesPerSecond,
        report.callsPerThousand,
        report.conflicts,
        report.kilobytesPerSecond,
        report.medianMillis,
        report.p99Millis,
        report.name,
    )

private fun line(report: ConfirmationCapacityReport): String =
    "%12d %13d %11d %7d  %s".format(
        report.answerBytes,
        report.recordBytes,
        report.recordsPerShard,
        report.records,
        report.secondsAtRate.joinToString { "$it s" },
    )
