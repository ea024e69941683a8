package org.cicadaturn.decisions.confirmation

import org.cicadaturn.schema.generated.ClaimState
import org.cicadaturn.schema.generated.ConfirmationRecord
import org.cicadaturn.schema.generated.Digest
import org.cicadaturn.schema.generated.Version

internal fun LedgerTurn.receiveRead(answer: ReadAnswer) {
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

/** Guards against a read that is answered from an old copy of the store. */
private fun LedgerTurn.isOlder(version: Version?): Boolean {
    val known = state.view?.version ?: return false
    return version == null || version < known
}

internal fun LedgerTurn.receiveWrite(answer: WriteAnswer) {
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
            forgetSent(writing.firstSent)
            backOff()
        }

        is WriteAnswer.TooLarge -> {
            forgetSent(writing.firstSent)
            lowerLimit(answer.limit, writing.records.values.sumOf { recordBytes(it) })
            backOff()
        }
    }
}

private fun LedgerTurn.accept(view: ShardView) {
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

private fun LedgerTurn.backOff() {
    val failures = state.failures + 1
    state = state.copy(failures = failures, retryAt = now + policy.retry.delayBefore(failures))
}

private fun LedgerTurn.forgetSent(keys: Set<Digest>) {
    for (key in keys) {
        val own = state.attempts[key] ?: continue
        keepAttempt(own.copy(sent = null))
    }
}

/** Takes over a store limit below the policy's, and gives up the claims that no longer fit. */
private fun LedgerTurn.lowerLimit(
    limit: Int,
    sentBytes: Int,
) {
    state = state.copy(storeLimit = minOf(limit, sentBytes - 1))
    val claims = state.attempts.values.filter { it.phase == AttemptPhase.Claiming && it.sent == null }
    claims.forEach { dropAttempt(it.key.key) }
}

/** Returns the length of a shard value, in bytes, above which no claim is added. */
internal fun LedgerTurn.claimLimit(): Int = minOf(policy.claimBytes, (state.storeLimit ?: policy.valueBytes) / 10 * 9)

/** Starts the next store call if one is needed and allowed now. */
internal fun LedgerTurn.planStoreCall() {
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
    if (mayWrite && takeWriteToken()) {
        write(view, pending)
    } else if (isReadDue || state.isViewStale) {
        state = state.copy(store = StoreActivity.Reading(state.turn))
        actions += LedgerAction.Read
    }
}

/** Takes one of the writes that the shard has earned, or asks to be woken when the next one is. */
private fun LedgerTurn.takeWriteToken(): Boolean {
    val since = state.tokensSince ?: now
    val earned = ((now - since) / policy.writeInterval).toInt().coerceIn(0, policy.writeBurst)
    val tokens = minOf(policy.writeBurst, (state.writeTokens ?: policy.writeBurst) + earned)
    val start = if (tokens == policy.writeBurst) now else since + policy.writeInterval * earned
    val isEarned = tokens > 0
    state = state.copy(writeTokens = if (isEarned) tokens - 1 else 0, tokensSince = start)
    if (!isEarned) wakeNoLaterThan(start + policy.writeInterval)
    return isEarned
}

private fun LedgerTurn.write(
    view: ShardView,
    pending: List<OwnAttempt>,
) {
    val records = nextRecords(view, pending)
    val claims = pending.filter { it.phase == AttemptPhase.Claiming }
    val firstSent = claims.filter { it.sent == null }.mapTo(mutableSetOf()) { it.key.key }
    claims.forEach { keepAttempt(it.copy(sent = SentClaim(view.version))) }
    state = state.copy(store = StoreActivity.Writing(state.turn, records, view.version, firstSent))
    actions += LedgerAction.Write(records.values.toList(), view.version)
}

/** Returns the records of [view] with the claims and outcomes of [pending], without what is past retention. */
private fun LedgerTurn.nextRecords(
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
    // The outcome itself must not be lost for want of room, so the stored answer gives way.
    val shortened = records.toMutableMap()
    for (record in added.sortedByDescending { recordBytes(it) }) {
        val answer = record.answer
        if (excess <= 0 || answer == null) continue
        shortened[record.key] = record.copy(answer = null)
        excess -= answerBytes(answer)
    }
    return shortened
}

/** Returns the record that [own] has to get into the store. */
internal fun LedgerTurn.recordOf(own: OwnAttempt): ConfirmationRecord {
    val record = ConfirmationRecord(own.key.key, own.key.body, own.id, ClaimState.CLAIMED, now)
    return when (val phase = own.phase) {
        is AttemptPhase.Finished -> record.copy(state = ClaimState.DONE, answer = storable(phase.answer, policy))
        is AttemptPhase.Releasing -> record.copy(state = ClaimState.RELEASED)
        else -> record
    }
}
