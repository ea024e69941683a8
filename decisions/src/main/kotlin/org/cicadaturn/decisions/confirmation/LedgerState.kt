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
    public val number: Long,
)

/** State of one shard of confirmations in one process. Immutable; [step] returns the next state. */
public data class LedgerState(
    /** Number of events so far; orders the arrival of requests and the sending of store calls. */
    val turn: Long = 0,
    /** Content of the shard as last read or written; null before the first read. */
    val view: ShardView? = null,
    /** Requests that wait for a result, oldest first. */
    val calls: Map<CallId, WaitingCall> = emptyMap(),
    /** Attempts of this process whose outcome is not settled in the store; at most one for each key. */
    val attempts: Map<Digest, OwnAttempt> = emptyMap(),
    /** Attempts of this process that ended without a known outcome and still hold their claim. */
    val lost: Set<AttemptId> = emptySet(),
    /** Store call in progress. */
    val store: StoreActivity = StoreActivity.Idle,
    /** True if the view may be out of date; no write is based on a stale view. */
    val isViewStale: Boolean = false,
    /** Number of consecutive failed store calls. */
    val failures: Int = 0,
    /** Time before which no further store call is made; null if there is no such limit. */
    val retryAt: Instant? = null,
    /** Writes that may be made now; null before the first write. */
    val writeTokens: Int? = null,
    /** Time from which further write tokens accrue. */
    val tokensSince: Instant? = null,
    /** Longest value, in bytes, that the store accepts; null until it has rejected a value as too long. */
    val storeLimit: Int? = null,
)

/** Content of a shard at one version. */
public data class ShardView(
    /** Version in the store; null if the object does not exist. */
    val version: Version?,
    /** Records by key. */
    val records: ShardRecords,
    /** Turn in which the store call that returned or wrote this content was sent. */
    val provenInTurn: Long,
) {
    /** Upper bound of the length of the value, in bytes. */
    val bytes: Int = records.values.sumOf { recordBytes(it) }
}

/** Request that waits for its result. */
public data class WaitingCall(
    val id: CallId,
    val key: ConfirmationKey,
    /** Attempt that runs the call if this request makes the claim. */
    val attempt: AttemptId,
    val deadline: Instant,
    val arrivedAt: Instant,
    /** Turn of the arrival; a view proven in this turn or later is fresh for this request. */
    val arrivedInTurn: Long,
    /** Number of views that showed the claim of another process. */
    val heldViews: Int = 0,
    /** [ShardView.provenInTurn] of the last of these views; -1 if there was none. */
    val lastHeldTurn: Long = -1,
    /** Time of the next read of the shard for this request. */
    val rereadAt: Instant? = null,
)

/** Attempt of this process that is not settled in the store. */
public data class OwnAttempt(
    val id: AttemptId,
    val key: ConfirmationKey,
    /** Request that this attempt runs for. */
    val call: CallId,
    val phase: AttemptPhase,
    /** When the phase began. */
    val since: Instant,
    /** Write that contains the claim and may still take effect; null if there is none. */
    val pendingWrite: ClaimWrite? = null,
)

/** Write of a claim that was conditional on the version [expected]; null if the object must not exist. */
public data class ClaimWrite(
    val expected: Version?,
)

/** Progress of an attempt of this process. */
public sealed interface AttemptPhase {
    /** The claim is not known to be durable, so the call must not run. */
    public data object Claiming : AttemptPhase

    /** The claim is durable and the call was started exactly once. */
    public data object Running : AttemptPhase

    /** The call ended with [answer]; the outcome is not known to be durable. */
    public data class Finished(
        val answer: StoredAnswer,
    ) : AttemptPhase

    /** The call did not run and will not run; the release of the claim is not known to be durable. */
    public data class Releasing(
        val reason: CallResult.NotRun,
    ) : AttemptPhase
}

/** Store call of a ledger that is in progress; there is at most one. */
public sealed interface StoreActivity {
    /** No call is in progress. */
    public data object Idle : StoreActivity

    /** The shard is being read; the read was sent in [turn]. */
    public data class Reading(
        val turn: Long,
    ) : StoreActivity

    /** [records] are being written; the write was sent in [turn]. */
    public data class Writing(
        val turn: Long,
        val records: ShardRecords,
        val expected: Version?,
        /** Keys of the claims without an earlier pending write; they have none if this write has no effect. */
        val firstSent: Set<Digest>,
    ) : StoreActivity
}

/** Answer of the store to a read of the shard. */
public sealed interface ReadAnswer {
    /** The object contains [records]; a null [version] means that it does not exist. */
    public data class Value(
        val version: Version?,
        val records: List<ConfirmationRecord>,
    ) : ReadAnswer

    /** The read failed. */
    public data object Failed : ReadAnswer
}

/** Answer of the store to a conditional write of the shard. */
public sealed interface WriteAnswer {
    /** The write took effect as [version]. */
    public data class Written(
        val version: Version,
    ) : WriteAnswer

    /** The version of the object differs from the expected one; the write had no effect. */
    public data object Conflict : WriteAnswer

    /** The write is proven to have had no effect. */
    public data object NoEffect : WriteAnswer

    /** The outcome is unknown: the write may have taken effect, or may still take effect. */
    public data object Unanswered : WriteAnswer

    /** The value is longer than the store's limit of [limit] bytes; the write had no effect. */
    public data class TooLarge(
        val limit: Int,
    ) : WriteAnswer
}

/** Input of a ledger. */
public sealed interface LedgerEvent {
    /** A request arrived. */
    public data class Requested(
        val call: CallId,
        val key: ConfirmationKey,
        val attempt: AttemptId,
        val deadline: Instant,
    ) : LedgerEvent

    /** The caller of [call] no longer waits for the result. */
    public data class Cancelled(
        val call: CallId,
    ) : LedgerEvent

    /** The call that [attempt] ran for [key] has ended. */
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

    /** The wake-up time of the last step has been reached. */
    public data object TimerFired : LedgerEvent
}

/** Action that the owner of a ledger must perform. */
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

/** Result of one step: the next state, the actions to perform, and when to send [LedgerEvent.TimerFired]. */
public data class LedgerStep(
    val state: LedgerState,
    val actions: List<LedgerAction>,
    val wakeAt: Instant?,
)
