@file:OptIn(kotlinx.coroutines.ExperimentalCoroutinesApi::class)

package org.cicadaturn.tasks.confirmation

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestScope
import kotlinx.serialization.json.Json
import org.cicadaturn.decisions.confirmation.CallResult
import org.cicadaturn.decisions.confirmation.ConfirmationResult
import org.cicadaturn.decisions.confirmation.callerOutcome
import org.cicadaturn.decisions.confirmation.report
import org.cicadaturn.schema.generated.AttemptId
import org.cicadaturn.schema.generated.ConfirmationKey
import org.cicadaturn.schema.generated.ConfirmationRecord
import org.cicadaturn.schema.generated.ConfirmationShard
import org.cicadaturn.schema.generated.Digest
import org.cicadaturn.schema.generated.Outcome
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.schema.generated.StoreEvents
import org.cicadaturn.schema.generated.StoreList
import org.cicadaturn.schema.generated.StoredAnswer
import org.cicadaturn.schema.generated.StoredObject
import org.cicadaturn.schema.generated.Version
import org.cicadaturn.tasks.store.ObjectStore
import org.cicadaturn.tasks.store.StoreError
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Fault of one store call; the argument makes the call take effect. */
typealias StoreFault<T> = suspend (call: suspend () -> Either<StoreError, T>) -> Either<StoreError, T>

/** In-memory store with a latency of 4 ms in virtual time and injected faults. */
class FakeStore : ObjectStore {
    val objects = mutableMapOf<String, StoredObject>()

    /** Faults of the next puts, in order; `slow(Duration.ZERO)` stands for a put without a fault. */
    val nextPutFaults = ArrayDeque<StoreFault<Version>>()
    var getFault: StoreFault<StoredObject> = { it() }
    var putFault: StoreFault<Version> = { it() }
    var puts = 0
    private var version = 0L

    override suspend fun get(key: String): Either<StoreError, StoredObject> {
        delay(2.milliseconds)
        val answer = getFault { objects[key]?.right() ?: StoreError.NotFound(key).left() }
        delay(2.milliseconds)
        return answer
    }

    override suspend fun put(
        key: String,
        value: String,
        expected: Version?,
    ): Either<StoreError, Version> {
        puts++
        delay(2.milliseconds)
        val fault = nextPutFaults.removeFirstOrNull() ?: putFault
        val answer = fault { write(key, value, expected) }
        delay(2.milliseconds)
        return answer
    }

    private fun write(
        key: String,
        value: String,
        expected: Version?,
    ): Either<StoreError, Version> {
        val current = objects[key]?.version
        if (current != expected) return StoreError.Conflict(current).left()
        val next = Version(++version)
        objects[key] = StoredObject(key, next, value)
        return next.right()
    }

    override suspend fun list(prefix: String): Either<StoreError, StoreList> = error("not used")

    override suspend fun delete(
        key: String,
        expected: Version,
    ): Either<StoreError, Unit> = error("not used")

    override suspend fun watch(
        prefix: String,
        from: Version,
        wait: Duration,
    ): Either<StoreError, StoreEvents> = error("not used")
}

fun <T> notSent(): StoreFault<T> = { StoreError.Unavailable("injected").left() }

fun <T> lostBeforeEffect(): StoreFault<T> =
    {
        delay(1.seconds)
        StoreError.Unanswered("injected").left()
    }

fun <T> lostAfterEffect(): StoreFault<T> =
    { call ->
        call()
        delay(1.seconds)
        StoreError.Unanswered("injected").left()
    }

fun <T> slow(by: Duration): StoreFault<T> =
    { call ->
        delay(by)
        call()
    }

val harnessStart: Instant = Instant.fromEpochSeconds(1_800_000_000)

/** Endpoint process; cancelling its scope ends all its coroutines, as a crash of the process does. */
class HarnessProcess(
    val scope: CoroutineScope,
    val confirmations: Confirmations,
)

/** Endpoint processes with one store and a back end that records its runs. */
class ConfirmationHarness(
    val test: TestScope,
    private val options: ConfirmationOptions = ConfirmationOptions(),
) {
    val store = FakeStore()
    val runs = mutableListOf<String>()
    private var attempts = 0
    private val key = ConfirmationKey(Digest("key"), Digest("body"))

    val clock =
        object : Clock {
            override fun now(): Instant = harnessStart + test.testScheduler.currentTime.milliseconds
        }

    fun process(): HarnessProcess {
        val scope = CoroutineScope(Job() + StandardTestDispatcher(test.testScheduler))
        val confirmations = confirmations(store, clock, { AttemptId("attempt ${++attempts}") }, scope, options)
        // Cancels the scope when the test ends, because the scope is not a child of the test's scope.
        test.backgroundScope.launch {
            try {
                delay(Duration.INFINITE)
            } finally {
                scope.cancel()
            }
        }
        return HarnessProcess(scope, confirmations)
    }

    /** Runs a call that takes [duration] and ends with [result], or with an answer that names the run. */
    suspend fun run(
        process: HarnessProcess,
        body: String = "body",
        deadline: Duration = 10.seconds,
        duration: Duration = 20.milliseconds,
        result: CallResult? = null,
    ): ConfirmationResult =
        process.confirmations.run(key.copy(body = Digest(body)), service, clock.now() + deadline) {
            if (result !is CallResult.NotRun) runs += body
            val answer = StoredAnswer(200, body = "run ${runs.size} of $body")
            delay(duration)
            result ?: CallResult.Answered(answer)
        }

    fun record(): ConfirmationRecord? =
        store.objects.values
            .flatMap { Json.decodeFromString<ConfirmationShard>(it.value).records }
            .singleOrNull()

    companion object {
        val service = ServiceId("booking")
    }
}

fun outcomeFor(result: ConfirmationResult): Outcome = callerOutcome(listOf(result.report()))
