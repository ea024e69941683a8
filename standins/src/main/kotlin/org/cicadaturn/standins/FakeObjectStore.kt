package org.cicadaturn.standins

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.channels.SendChannel
import kotlinx.coroutines.withTimeoutOrNull
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.StoreEvents
import org.cicadaturn.schema.generated.StoreList
import org.cicadaturn.schema.generated.StoredObject
import org.cicadaturn.schema.generated.Version
import org.cicadaturn.tasks.store.ObjectStore
import org.cicadaturn.tasks.store.StoreError
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Object store in memory, with the state and the faults of the platform stand-in but without sockets. */
public interface FakeObjectStore : StoreControl {
    /**
     * Returns a client in failure domain [domain].
     *
     * Its calls end within [timeout], and a watch within its wait plus [timeout]. A call that timed out or was
     * cancelled may still take effect after a delay or a pause, as with a real store.
     */
    public fun client(
        domain: FailureDomainId,
        timeout: Duration = 2.seconds,
    ): ObjectStore
}

/**
 * Starts a fake store in [scope] and returns it.
 *
 * All waits are coroutine delays in [scope] and in the caller, so that `runTest` controls them in virtual time; pass
 * its background scope as [scope]. [seed] determines which answers are lost because of `losePercent`.
 */
public fun fakeObjectStore(
    scope: CoroutineScope,
    limits: StoreLimits = StoreLimits(),
    seed: Long = 0,
): FakeObjectStore {
    val inbox = startStoreOwner(scope, limits, Random(seed))
    return InMemoryStore(inbox, OwnerControl(inbox))
}

private class InMemoryStore(
    private val inbox: SendChannel<StoreMessage>,
    control: StoreControl,
) : FakeObjectStore,
    StoreControl by control {
    override fun client(
        domain: FailureDomainId,
        timeout: Duration,
    ): ObjectStore {
        require(timeout > Duration.ZERO) { "timeout is $timeout; give a positive duration" }
        return InMemoryClient(inbox, domain, timeout)
    }
}

private class InMemoryClient(
    private val inbox: SendChannel<StoreMessage>,
    private val domain: FailureDomainId,
    private val timeout: Duration,
) : ObjectStore {
    override suspend fun get(key: String): Either<StoreError, StoredObject> =
        ask(StoreCall.Get(key), timeout) { (it as StoreReply.Found).stored }

    override suspend fun list(prefix: String): Either<StoreError, StoreList> =
        ask(StoreCall.ListObjects(prefix), timeout) { (it as StoreReply.Listed).list }

    override suspend fun put(
        key: String,
        value: String,
        expected: Version?,
    ): Either<StoreError, Version> =
        ask(StoreCall.Put(key, value, expected), timeout) { (it as StoreReply.Written).version }

    override suspend fun delete(
        key: String,
        expected: Version,
    ): Either<StoreError, Unit> = ask(StoreCall.Delete(key, expected), timeout) { check(it is StoreReply.Written) }

    override suspend fun watch(
        prefix: String,
        from: Version,
        wait: Duration,
    ): Either<StoreError, StoreEvents> =
        ask(StoreCall.Watch(prefix, from, wait), wait.coerceAtLeast(Duration.ZERO) + timeout) {
            (it as StoreReply.Changed).events
        }

    private suspend fun <T> ask(
        call: StoreCall,
        limit: Duration,
        read: (StoreReply) -> T,
    ): Either<StoreError, T> =
        when (val reply = replyOrNull(call, limit)) {
            null -> StoreError.Unanswered("no answer within $limit").left()
            is StoreReply.Failed -> reply.error.left()
            StoreReply.RefuseConnection -> StoreError.Unavailable("connection refused").left()
            StoreReply.CloseConnection -> StoreError.Unanswered("connection lost").left()
            else -> read(reply).right()
        }

    private suspend fun replyOrNull(
        call: StoreCall,
        limit: Duration,
    ): StoreReply? {
        val reply = CompletableDeferred<StoreReply>()
        try {
            return withTimeoutOrNull(limit) {
                inbox.send(StoreMessage.Submit(Submission(call, domain, reply)))
                val received = reply.await()
                if (received == StoreReply.NoAnswer) awaitCancellation()
                received
            }
        } finally {
            // Ends the wait of a watch if the caller was cancelled or timed out.
            reply.cancel()
        }
    }
}
