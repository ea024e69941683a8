package org.cicadaturn.decisions.confirmation

import org.cicadaturn.schema.generated.AttemptId
import org.cicadaturn.schema.generated.ConfirmationKey
import org.cicadaturn.schema.generated.ConfirmationRecord
import org.cicadaturn.schema.generated.Digest
import org.cicadaturn.schema.generated.StoredAnswer
import org.cicadaturn.schema.generated.Version
import kotlin.time.Instant

/** Identifies a waiting request at one shard ledger. */
@JvmInline
public value class CallId(
    /** The bare number. */
    public val number: Long,
)

/** Is all that a process knows of one shard of confirmations. Immutable; [step] returns the next state. */
public data class LedgerState(
    /** Number of events so far; orders the arrival of requests and the sending of store calls. */
    val turn: Long = 0,
    /** Shard as last read or written, null before the first read. */
    val view: ShardView? = null,
    /** Requests that wait for a result, oldest first. */
    val calls: Map<CallId, WaitingCall> = emptyMap(),
    /** Attempts of this process whose outcome is not settled in the store; at most one for each key. */
    val attempts: Map<Digest, OwnAttempt> = emptyMap(),
    /** Attempts of this process that ended without a known outcome and still hold their claim. */
    val lost: Set<AttemptId> = emptySet(),
    /** Store call in progress. */
    val store: StoreActivity = StoreActivity.Idle,
    /** True if the view may be out of date, so that no write is based on it. */
    val isViewStale: Boolean = false,
    /** Failed store calls in a row, and the time before which no further call is made. */
    val failures: Int = 0,
    val retryAt: Instant? = null,
    /** Writes that may be made at once, and the time since which further ones are earned. */
    val writeTokens: Int? = null,
    val tokensSince: Instant? = null,
    /** Limit that the store gave for a value, if it is lower than the policy's. */
    val storeLimit: Int? = null,
)

/** Is the content of a shard at one version. */
public data class ShardView(
    /** Version in the store, null if the object does not exist. */
    val version: Version?,
    /** Records by key. */
    val records: ShardRecords,
    /** Turn in which the store call was sent that proved this content. */
    val provenInTurn: Long,
) {
    /** Upper bound of the length of the value, in bytes. */
    val bytes: Int = records.values.sumOf { recordBytes(it) }
}

/** Is a request that waits for its result. */
public data class WaitingCall(
    val id: CallId,
    val key: ConfirmationKey,
    /** Attempt that runs the call if this request makes the claim. */
    val attempt: AttemptId,
    val deadline: Instant,
    val arrivedAt: Instant,
    /** Turn of the arrival; a view that was proven later is fresh for this request. */
    val arrivedInTurn: Long,
    /** Views that showed the claim held by another process, and when to look again. */
    val heldViews: Int = 0,
    val lastHeldTurn: Long = -1,
    val rereadAt: Instant? = null,
)

/** Is an attempt of this process that is not settled in the store. */
public data class OwnAttempt(
    val id: AttemptId,
    val key: ConfirmationKey,
    /** Request that this attempt runs for. */
    val call: CallId,
    val phase: AttemptPhase,
    /** When the phase began. */
    val since: Instant,
    /** Set while a write that contains the claim may still take effect. */
    val sent: SentClaim? = null,
)

/** Names the version that a write was conditional on; null if the object must not exist. */
public data class SentClaim(
    val expected: Version?,
)

/** Tells how far an own attempt went. */
public sealed interface AttemptPhase {
    /** The claim is not known to be durable; the call must not run. */
    public data object Claiming : AttemptPhase

    /** The claim is durable and the call was started, once. */
    public data object Running : AttemptPhase

    /** The call ended with [answer]; the outcome is not known to be durable. */
    public data class Finished(
        val answer: StoredAnswer,
    ) : AttemptPhase

    /** The call did not run and never will; the release is not known to be durable. */
    public data class Releasing(
        val reason: CallResult.NotRun,
    ) : AttemptPhase
}

/** Is the store call of a ledger that has not been answered; there is at most one. */
public sealed interface StoreActivity {
    /** No call is in progress. */
    public data object Idle : StoreActivity

    /** The shard is being read since [turn]. */
    public data class Reading(
        val turn: Long,
    ) : StoreActivity

    /** [records] are being written since [turn]. */
    public data class Writing(
        val turn: Long,
        val records: ShardRecords,
        val expected: Version?,
        /** Keys whose claim was in no earlier write that may still take effect. */
        val firstSent: Set<Digest>,
    ) : StoreActivity
}

/** Is the answer of the store to a read of the shard. */
public sealed interface ReadAnswer {
    /** The object has these [records]; a null [version] means that it does not exist. */
    public data class Value(
        val version: Version?,
        val records: List<ConfirmationRecord>,
    ) : ReadAnswer

    /** The read failed. */
    public data object Failed : ReadAnswer
}

/** Is the answer of the store to a conditional write of the shard. */
public sealed interface WriteAnswer {
    /** The write took effect as [version]. */
    public data class Written(
        val version: Version,
    ) : WriteAnswer

    /** The object has another version than the expected one. */
    public data object Conflict : WriteAnswer

    /** The write is proven to have had no effect. */
    public data object NoEffect : WriteAnswer

    /** The write may have taken effect, or may still take effect. */
    public data object Unanswered : WriteAnswer

    /** The value is longer than [limit] bytes, which the store takes at most; the write had no effect. */
    public data class TooLarge(
        val limit: Int,
    ) : WriteAnswer
}

/** Is something that happened to a ledger. */
public sealed interface LedgerEvent {
    /** A request arrived. */
    public data class Requested(
        val call: CallId,
        val key: ConfirmationKey,
        val attempt: AttemptId,
        val deadline: Instant,
    ) : LedgerEvent

    /** The requester no longer waits for the result. */
    public data class Cancelled(
        val call: CallId,
    ) : LedgerEvent

    /** The call that [attempt] of [key] ran has ended. */
    public data class Ended(
        val key: Digest,
        val attempt: AttemptId,
        val result: CallResult,
    ) : LedgerEvent

    /** The read in progress was answered. */
    public data class ReadDone(
        val answer: ReadAnswer,
    ) : LedgerEvent

    /** The write in progress was answered. */
    public data class WriteDone(
        val answer: WriteAnswer,
    ) : LedgerEvent

    /** The time that the last step asked for has come. */
    public data object TimerFired : LedgerEvent
}

/** Is something that the owner of a ledger has to do. */
public sealed interface LedgerAction {
    /** Reads the shard and reports [LedgerEvent.ReadDone]. */
    public data object Read : LedgerAction

    /** Writes the shard if its version is [expected], and reports [LedgerEvent.WriteDone]. */
    public data class Write(
        val records: List<ConfirmationRecord>,
        val expected: Version?,
    ) : LedgerAction

    /** Runs the call of request [call] once and reports [LedgerEvent.Ended]. */
    public data class Run(
        val call: CallId,
        val key: Digest,
        val attempt: AttemptId,
    ) : LedgerAction

    /** Gives request [call] its result. */
    public data class Answer(
        val call: CallId,
        val result: ConfirmationResult,
    ) : LedgerAction
}

/** Is the result of one step: the next state, what to do, and when to send [LedgerEvent.TimerFired]. */
public data class LedgerStep(
    val state: LedgerState,
    val actions: List<LedgerAction>,
    val wakeAt: Instant?,
)
