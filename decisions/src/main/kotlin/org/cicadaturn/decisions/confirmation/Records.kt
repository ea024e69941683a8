package org.cicadaturn.decisions.confirmation

import org.cicadaturn.schema.generated.ClaimState
import org.cicadaturn.schema.generated.ConfirmationRecord
import org.cicadaturn.schema.generated.Digest
import org.cicadaturn.schema.generated.StoredAnswer
import kotlin.time.Duration
import kotlin.time.Instant

/** Records of one shard by key digest, in the order in which the keys were first claimed. */
public typealias ShardRecords = Map<Digest, ConfirmationRecord>

/** Upper bound of the JSON bytes for names, punctuation, state and time of a record. */
private const val RECORD_OVERHEAD_BYTES = 150

/** Upper bound of the JSON bytes for names, punctuation and status of a stored answer. */
private const val ANSWER_OVERHEAD_BYTES = 60

/** Upper bound of the JSON bytes for names and punctuation of a header. */
private const val HEADER_OVERHEAD_BYTES = 24

/** Returns an upper bound of the length of [record] in JSON, in bytes. */
public fun recordBytes(record: ConfirmationRecord): Int =
    RECORD_OVERHEAD_BYTES +
        jsonBytes(record.key.text) +
        jsonBytes(record.body.text) +
        jsonBytes(record.attempt.text) +
        (record.answer?.let { answerBytes(it) } ?: 0)

/** Returns an upper bound of the length of [answer] in JSON, in bytes. */
internal fun answerBytes(answer: StoredAnswer): Int = ANSWER_OVERHEAD_BYTES + answer.body.length + headerBytes(answer)

private fun headerBytes(answer: StoredAnswer): Int =
    answer.headers.sumOf { HEADER_OVERHEAD_BYTES + jsonBytes(it.name) + jsonBytes(it.value) }

/** Returns an upper bound of the length of [text] as an escaped JSON string in UTF-8, in bytes. */
private fun jsonBytes(text: String): Int =
    text.sumOf { c ->
        val bytes =
            when {
                c == '"' || c == '\\' -> 2
                c.code < 0x20 -> 6
                c.code < 0x80 -> 1
                c.code < 0x800 -> 2
                else -> 3
            }
        bytes
    }

/** Returns [answer], or null if it is longer than [policy] allows to be stored. */
internal fun storable(
    answer: StoredAnswer,
    policy: LedgerPolicy,
): StoredAnswer? {
    // The body is encoded in Base64, 4 characters for 3 bytes.
    val bodyBytes = answer.body.length / 4 * 3
    return answer.takeIf { bodyBytes <= policy.answerBodyBytes && headerBytes(it) <= policy.answerHeaderBytes }
}

/** Returns true if no process can change [record] any more, so that a cached copy of it is valid. */
internal fun isFinal(
    record: ConfirmationRecord,
    now: Instant,
    retention: Duration,
): Boolean = record.state == ClaimState.DONE && !isExpired(record, now, retention)

/** Returns true if [record] may be removed at [now]. */
internal fun isExpired(
    record: ConfirmationRecord,
    now: Instant,
    retention: Duration,
): Boolean = now - record.changedAt >= retention

/**
 * Returns [records] without those past the retention time, and also without released ones if the rest is longer than
 * [bytes]. Records of keys in [keep] are always retained.
 */
internal fun retained(
    records: ShardRecords,
    now: Instant,
    policy: LedgerPolicy,
    bytes: Int,
    keep: Set<Digest>,
): ShardRecords {
    val young = records.filter { (key, record) -> key in keep || !isExpired(record, now, policy.retention) }
    if (young.values.sumOf { recordBytes(it) } <= bytes) return young
    return young.filter { (key, record) -> key in keep || record.state != ClaimState.RELEASED }
}
