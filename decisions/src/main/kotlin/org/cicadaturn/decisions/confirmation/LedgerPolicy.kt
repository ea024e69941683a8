package org.cicadaturn.decisions.confirmation

import org.cicadaturn.decisions.retry.Backoff
import org.cicadaturn.decisions.retry.exponentialBackoff
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Bounds and waiting times of a shard ledger. */
public data class LedgerPolicy(
    /** How long the outcome of a confirmation is kept; after it, the key counts as new. */
    val retention: Duration = 24.hours,
    /** Length of a shard value, in bytes, above which no claim is added. */
    val claimBytes: Int = 900_000,
    /** Longest shard value, in bytes. The part above [claimBytes] is left for outcomes of accepted claims. */
    val valueBytes: Int = 1_000_000,
    /** Longest stored answer body, in bytes. */
    val answerBodyBytes: Int = 16 * 1024,
    /** Longest sum of stored answer headers, in bytes. */
    val answerHeaderBytes: Int = 4 * 1024,
    /** Requests that wait at one shard at once; further ones are refused. */
    val maxCalls: Int = 1024,
    /** How long a request waits for its claim to be read or written before it is refused. */
    val claimWait: Duration = 5.seconds,
    /** Failed store calls in a row after which the store counts as down. */
    val outageFailures: Int = 3,
    /** How long a request waits for its claim while the store counts as down; another endpoint may reach it. */
    val outageWait: Duration = 500.milliseconds,
    /** Wait after failed store calls in a row. */
    val retry: Backoff = exponentialBackoff(50.milliseconds, 5.seconds),
    /** Wait between reads of a shard on behalf of a request whose claim another process holds. */
    val reread: Backoff = exponentialBackoff(50.milliseconds, 1.seconds),
    /** Writes that a shard may make at once after a pause. */
    val writeBurst: Int = 4,
    /**
     * Time in which a shard earns one further write.
     *
     * Bounds the writes of a service at [CONFIRMATION_SHARDS] / interval, 320/s; the store takes several hundred.
     * Claims and outcomes that wait for it are combined into the next write.
     */
    val writeInterval: Duration = 200.milliseconds,
) {
    init {
        require(claimBytes < valueBytes) { "claimBytes $claimBytes leaves no room for outcomes below $valueBytes" }
        require(writeBurst > 0) { "writeBurst $writeBurst allows no write; use 1 or more" }
        require(retention.isPositive()) { "retention $retention keeps no outcome; use a positive time" }
    }
}
