package org.cicadaturn.tasks.confirmation

import kotlinx.coroutines.CoroutineScope
import org.cicadaturn.decisions.confirmation.CONFIRMATION_SHARDS
import org.cicadaturn.decisions.confirmation.CallResult
import org.cicadaturn.decisions.confirmation.ConfirmationResult
import org.cicadaturn.decisions.confirmation.LedgerPolicy
import org.cicadaturn.decisions.confirmation.ReadAnswer
import org.cicadaturn.decisions.confirmation.WriteAnswer
import org.cicadaturn.schema.generated.AttemptId
import org.cicadaturn.schema.generated.ConfirmationKey
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.tasks.Supervisor
import org.cicadaturn.tasks.store.ObjectStore
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

/** Runs confirmations, which are calls that run at most once for each idempotency key. */
public interface Confirmations {
    /**
     * Runs [call] if no call with [key] has run before, and returns its answer or the recorded one.
     *
     * The call starts after its claim on the key is durable in the store. It runs in the scope of the confirmations and
     * continues if the requester is cancelled or [deadline] passes; [call] must limit its own duration. Requests with
     * the same key wait for the call in progress. An answer is returned only after it is durable.
     */
    public suspend fun run(
        key: ConfirmationKey,
        service: ServiceId,
        deadline: Instant,
        call: suspend () -> CallResult,
    ): ConfirmationResult

    /**
     * Refuses new requests from now on and returns when every call has ended and its outcome is durable.
     *
     * Does not return while the store is unavailable, so the process limits the wait by its stop timeout.
     */
    public suspend fun drain()

    /** Returns the status of each shard in use, for the state dump. */
    public suspend fun shards(): List<ShardStatus>
}

/** Status of a shard in use. */
public data class ShardStatus(
    /** Store key of the shard. */
    val objectKey: String,
    /** Number of requests that wait for a result. */
    val waiting: Int,
    /** Number of calls in progress. */
    val running: Int,
    /** Number of claims and outcomes that are not known to be durable. */
    val unsettled: Int,
    /** Number of consecutive failed store calls. */
    val failures: Int,
)

/** Receives the events of the confirmations, for metrics; called by the tasks, so it must not block. */
public typealias ConfirmationObserver = (ConfirmationEvent) -> Unit

/** Event of the confirmations that metrics can count. */
public sealed interface ConfirmationEvent {
    /** End of a request with [result] after [duration]. */
    public data class RequestEnded(
        val result: ConfirmationResult,
        val duration: Duration,
    ) : ConfirmationEvent

    /** End of a read of a shard with [answer] after [duration]. */
    public data class ShardRead(
        val answer: ReadAnswer,
        val duration: Duration,
    ) : ConfirmationEvent

    /** End of a write of a shard with [answer] after [duration]. */
    public data class ShardWritten(
        val answer: WriteAnswer,
        val duration: Duration,
    ) : ConfirmationEvent
}

/** Options of the confirmation tasks. */
public data class ConfirmationOptions(
    /** Limits and waiting times of each shard. */
    val policy: LedgerPolicy = LedgerPolicy(),
    /** Number of shards of a service. Part of the layout in the store, so only tests change it. */
    val shards: Int = CONFIRMATION_SHARDS,
    /** Time without a request after which a shard's state is dropped from memory. */
    val idleTime: Duration = 5.minutes,
)

/**
 * Returns confirmations that store their claims in [store].
 *
 * [newAttemptId] returns an identifier that is unique among all processes. The tasks and the calls run in [scope].
 * Cancelling it has the same effect as a crash of the process: claims without an outcome stay claimed. [supervisor] runs
 * a task again after a failure, with its state.
 */
public fun confirmations(
    store: ObjectStore,
    clock: Clock,
    newAttemptId: () -> AttemptId,
    scope: CoroutineScope,
    options: ConfirmationOptions = ConfirmationOptions(),
    observer: ConfirmationObserver = {},
    supervisor: Supervisor = Supervisor(clock),
): Confirmations = ConfirmationTasks(ShardContext(store, clock, newAttemptId, scope, options, observer, supervisor))
