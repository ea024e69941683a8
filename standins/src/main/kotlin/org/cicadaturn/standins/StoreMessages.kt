package org.cicadaturn.standins

import kotlinx.coroutines.CompletableDeferred
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.StoreCounts
import org.cicadaturn.schema.generated.StoreEvents
import org.cicadaturn.schema.generated.StoreFaults
import org.cicadaturn.schema.generated.StoreList
import org.cicadaturn.schema.generated.StoredObject
import org.cicadaturn.schema.generated.Version
import org.cicadaturn.tasks.store.StoreError
import kotlin.time.Duration

/** Call to the object API, independent of its encoding. */
internal sealed interface StoreCall {
    data class Get(
        val key: String,
    ) : StoreCall

    data class ListObjects(
        val prefix: String,
    ) : StoreCall

    data class Put(
        val key: String,
        val value: String,
        val expected: Version?,
    ) : StoreCall

    data class Delete(
        val key: String,
        val expected: Version,
    ) : StoreCall

    data class Watch(
        val prefix: String,
        val from: Version,
        val wait: Duration,
    ) : StoreCall
}

/** Outcome of a call, including the connection faults that replace an answer. */
internal sealed interface StoreReply {
    data class Found(
        val stored: StoredObject,
    ) : StoreReply

    data class Listed(
        val list: StoreList,
    ) : StoreReply

    data class Written(
        val version: Version,
    ) : StoreReply

    data class Changed(
        val events: StoreEvents,
    ) : StoreReply

    data class Failed(
        val error: StoreError,
    ) : StoreReply

    /** Refuses the connection; the call does not reach the store. */
    data object RefuseConnection : StoreReply

    /** Closes the connection without an answer. */
    data object CloseConnection : StoreReply

    /** Keeps the connection open without an answer. */
    data object NoAnswer : StoreReply
}

/** Call submitted to the store's owner, with the failure domain of the caller and the deferred reply. */
internal data class Submission(
    val call: StoreCall,
    val domain: FailureDomainId?,
    val reply: CompletableDeferred<StoreReply>,
)

/** Message to the coroutine that owns the store's state. */
internal sealed interface StoreMessage {
    data class Submit(
        val submission: Submission,
    ) : StoreMessage

    /** Executes a call whose delay has passed. */
    data class Execute(
        val submission: Submission,
    ) : StoreMessage

    /** Ends a watch whose wait has passed or whose caller has cancelled it. */
    data class EndWait(
        val submission: Submission,
    ) : StoreMessage

    /** Makes the changes below [prefix] up to [version] visible in lists, after their lag. */
    data class AdvanceView(
        val prefix: String,
        val version: Version,
    ) : StoreMessage

    data class SetFaults(
        val faults: StoreFaults,
        val done: CompletableDeferred<Unit>,
    ) : StoreMessage

    data class ReadFaults(
        val reply: CompletableDeferred<StoreFaults>,
    ) : StoreMessage

    data class ReadCounts(
        val reply: CompletableDeferred<StoreCounts>,
    ) : StoreMessage

    /** Completes [done] as soon as at least [watches] watches wait. */
    data class AwaitWaitingWatches(
        val watches: Int,
        val done: CompletableDeferred<Unit>,
    ) : StoreMessage
}
