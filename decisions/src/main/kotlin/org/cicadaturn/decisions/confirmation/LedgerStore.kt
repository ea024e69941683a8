package org.cicadaturn.decisions.confirmation

import org.cicadaturn.schema.generated.ClaimState
import org.cicadaturn.schema.generated.ConfirmationRecord
import org.cicadaturn.schema.generated.Digest
import org.cicadaturn.schema.generated.Version

internal fun LedgerStepBuilder.receiveRead(answer: ReadAnswer) {
    val reading = state.store as? StoreActivity.Reading ?: return
    state = state.copy(store = StoreActivity.Idle)
    when (answer) {
        is ReadAnswer.Value -> {
            val records = answer.records.associateBy { it.key }
            if (isOlder(answer.version)) backOff() else accept(ShardView(answer.version, records, reading.turn))
        }

        ReadAnswer.Failed -> {
            backOff()
        }
    }
}

/** Returns true if a read was answered from an older copy of the store than the known view. */
private fun LedgerStepBuilder.isOlder(version: Version?): Boolean {
    val known = state.view?.version ?: return false
    return version == null || version < known
}

internal fun LedgerStepBuilder.receiveWrite(answer: WriteAnswer) {
    val writing = state.store as? StoreActivity.Writing ?: return
    state = state.copy(store = StoreActivity.Idle)
    when (answer) {
        is WriteAnswer.Written -> {
            accept(ShardView(answer.version, writing.records, writing.turn))
        }

        WriteAnswer.Conflict -> {
            state = state.copy(isViewStale = true)
        }

        WriteAnswer.Unanswered -> {
            state = state.copy(isViewStale = true)
            backOff()
        }

        WriteAnswer.NoEffect -> {
            clearPendingWrites(writing.firstSent)
            backOff()
        }

        is WriteAnswer.TooLarge -> {
            clearPendingWrites(writing.firstSent)
            lowerLimit(answer.limit, writing.records.values.sumOf { recordBytes(it) })
            backOff()
        }
    }
}

private fun LedgerStepBuilder.accept(view: ShardView) {
    val claimed = if (state.lost.isEmpty()) emptySet() else claimedAttempts(view)
    state =
        state.copy(
            view = view,
            lost = state.lost intersect claimed,
            isViewStale = false,
            failures = 0,
            retryAt = null,
        )
}

private fun claimedAttempts(view: ShardView) =
    view.records.values
        .filter { it.state == ClaimState.CLAIMED }
        .mapTo(mutableSetOf()) { it.attempt }

private fun LedgerStepBuilder.backOff() {
    val failures = state.failures + 1
    state = state.copy(failures = failures, retryAt = now + policy.retryBackoff.delayBefore(failures))
}

private fun LedgerStepBuilder.clearPendingWrites(keys: Set<Digest>) {
    for (key in keys) {
        val own = state.attempts[key] ?: continue
        putAttempt(own.copy(pendingWrite = null))
    }
}

/** Adopts a value limit of the store, and drops claims without a pending write so that they are decided again. */
private fun LedgerStepBuilder.lowerLimit(
    limit: Int,
    sentBytes: Int,
) {
    state = state.copy(storeLimit = minOf(limit, sentBytes - 1))
    val claims = state.attempts.values.filter { it.phase == AttemptPhase.Claiming && it.pendingWrite == null }
    claims.forEach { removeAttempt(it.key.key) }
}

/** Returns the length of a shard value, in bytes, above which no claim is added. */
internal fun LedgerStepBuilder.claimLimit(): Int {
    val limit = state.storeLimit ?: policy.valueBytes
    // A tenth of the limit of the store stays reserved for outcomes of accepted claims.
    return minOf(policy.claimBytes, limit / 10 * 9)
}

/** Starts the next store call if one is needed and allowed now. */
internal fun LedgerStepBuilder.startStoreCall() {
    if (state.store != StoreActivity.Idle) return
    val pending = state.attempts.values.filter { it.phase != AttemptPhase.Running }
    if (pending.isEmpty() && !isReadDue) return
    val retryAt = state.retryAt
    if (retryAt != null && now < retryAt) {
        wakeNoLaterThan(retryAt)
        return
    }
    val view = state.view
    val mayWrite = pending.isNotEmpty() && view != null && !state.isViewStale
    if (mayWrite && tryTakeWriteToken()) {
        write(view, pending)
    } else if (isReadDue || state.isViewStale) {
        state = state.copy(store = StoreActivity.Reading(state.turn))
        actions += LedgerAction.Read
    }
}

/** Takes a write token if one is available; otherwise sets the wake-up time for the next one. */
private fun LedgerStepBuilder.tryTakeWriteToken(): Boolean {
    val since = state.tokensSince ?: now
    val earned = ((now - since) / policy.writeInterval).toInt().coerceIn(0, policy.writeBurst)
    val tokens = minOf(policy.writeBurst, (state.writeTokens ?: policy.writeBurst) + earned)
    val start = if (tokens == policy.writeBurst) now else since + policy.writeInterval * earned
    val isAvailable = tokens > 0
    state = state.copy(writeTokens = if (isAvailable) tokens - 1 else 0, tokensSince = start)
    if (!isAvailable) wakeNoLaterThan(start + policy.writeInterval)
    return isAvailable
}

private fun LedgerStepBuilder.write(
    view: ShardView,
    pending: List<OwnAttempt>,
) {
    val records = nextRecords(view, pending)
    val claims = pending.filter { it.phase == AttemptPhase.Claiming }
    val firstSent = claims.filter { it.pendingWrite == null }.mapTo(mutableSetOf()) { it.key.key }
    claims.forEach { putAttempt(it.copy(pendingWrite = ClaimWrite(view.version))) }
    state = state.copy(store = StoreActivity.Writing(state.turn, records, view.version, firstSent))
    actions += LedgerAction.Write(records.values.toList(), view.version)
}

/** Returns the records of [view] and of [pending], without those past the retention time. */
private fun LedgerStepBuilder.nextRecords(
    view: ShardView,
    pending: List<OwnAttempt>,
): ShardRecords {
    val added = pending.map { recordOf(it) }
    val room = claimLimit() - added.sumOf { recordBytes(it) }
    val kept = retained(view.records, now, policy, room, state.attempts.keys)
    val records = kept + added.associateBy { it.key }
    val limit = state.storeLimit ?: policy.valueBytes
    var excess = records.values.sumOf { recordBytes(it) } - limit
    if (excess <= 0) return records
    // The outcome itself must be stored even if the shard is full, so stored answers are omitted first.
    val shortened = records.toMutableMap()
    for (record in added.sortedByDescending { recordBytes(it) }) {
        val answer = record.answer
        if (excess <= 0 || answer == null) continue
        shortened[record.key] = record.copy(answer = null)
        excess -= answerBytes(answer)
    }
    return shortened
}

/** Returns the record that [own] must have in the store. */
internal fun LedgerStepBuilder.recordOf(own: OwnAttempt): ConfirmationRecord {
    val record = ConfirmationRecord(own.key.key, own.key.body, own.id, ClaimState.CLAIMED, now)
    return when (val phase = own.phase) {
        is AttemptPhase.Finished -> record.copy(state = ClaimState.DONE, answer = storable(phase.answer, policy))
        is AttemptPhase.Releasing -> record.copy(state = ClaimState.RELEASED)
        else -> record
    }
}
