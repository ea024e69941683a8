package org.cicadaturn.decisions.confirmation

import org.cicadaturn.decisions.retry.Backoff
import org.cicadaturn.decisions.retry.exponentialBackoff
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Limits and waiting times of a shard ledger. */
public data class LedgerPolicy(
    /** Time for which the outcome of a confirmation is stored; after that, the key counts as unused. */
    val retention: Duration = 24.hours,
    /** Length of a shard value, in bytes, above which no claim is added. */
    val claimBytes: Int = 900_000,
    /** Longest shard value, in bytes. The space above [claimBytes] is reserved for outcomes of accepted claims. */
    val valueBytes: Int = 1_000_000,
    /** Longest stored answer body, in bytes. */
    val answerBodyBytes: Int = 16 * 1024,
    /** Largest total length of stored answer headers, in bytes. */
    val answerHeaderBytes: Int = 4 * 1024,
    /** Most requests that wait at one shard at once; further ones are refused. */
    val maxCalls: Int = 1024,
    /** Longest time that a request waits for its claim to be read or written before it is refused. */
    val claimWait: Duration = 5.seconds,
    /** Consecutive failed store calls after which the store counts as unavailable. */
    val outageFailures: Int = 3,
    /** Longest wait for a claim while the store counts as unavailable; another endpoint may still reach the store. */
    val outageWait: Duration = 500.milliseconds,
    /** Wait after consecutive failed store calls. */
    val retryBackoff: Backoff = exponentialBackoff(50.milliseconds, 5.seconds),
    /** Wait between reads of a shard for a request whose key another process has claimed. */
    val rereadBackoff: Backoff = exponentialBackoff(50.milliseconds, 1.seconds),
    /** Most writes of a shard in immediate succession after a pause. */
    val writeBurst: Int = 4,
    /**
     * Time after which a shard may make one further write.
     *
     * Limits the writes of a service to [CONFIRMATION_SHARDS] per interval, that is 320/s; the store sustains several
     * hundred writes per second. Claims and outcomes that arrive in the meantime are combined into the next write.
     */
    val writeInterval: Duration = 200.milliseconds,
) {
    init {
        require(claimBytes < valueBytes) { "claimBytes $claimBytes leaves no room for outcomes below $valueBytes" }
        require(writeBurst > 0) { "writeBurst $writeBurst allows no write; use 1 or more" }
        require(retention.isPositive()) { "retention $retention keeps no outcome; use a positive time" }
    }
}
