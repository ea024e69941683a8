package org.cicadaturn.decisions.confirmation

import org.cicadaturn.schema.generated.AttemptId
import org.cicadaturn.schema.generated.ConfirmationKey
import org.cicadaturn.schema.generated.ConfirmationRecord
import org.cicadaturn.schema.generated.Digest
import org.cicadaturn.schema.generated.RefusalCode
import org.cicadaturn.schema.generated.StoredAnswer
import org.cicadaturn.schema.generated.Version
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Step function of the ledger; a test of an injected fault replaces it. */
typealias Stepper = (LedgerState, LedgerEvent, Instant, LedgerPolicy) -> LedgerStep

/** Request of the script, sent to [process] with [body]; all requests have the same key. */
data class ScriptedRequest(
    val process: Int,
    val body: String = "body",
)

/** Script, bounds and injected faults of an exploration. */
data class Exploration(
    val script: List<ScriptedRequest>,
    val faults: Int,
    val ticks: Int = 4,
    val stepper: Stepper = ::step,
    val isStoreConditional: Boolean = true,
    val isUnknownReportedAsNotRun: Boolean = false,
    /** False omits the check of final states, so that an injected fault is reported as a violated rule. */
    val areEndingsChecked: Boolean = true,
)

/** Store call of a process; a paused process makes no transition. */
sealed interface StoreOperation {
    data object ReadSent : StoreOperation

    data class ReadAnswered(
        val answer: ReadAnswer,
    ) : StoreOperation

    data class WriteSent(
        val records: List<ConfirmationRecord>,
        val expected: Version?,
    ) : StoreOperation

    data class WriteAnswered(
        val answer: WriteAnswer,
    ) : StoreOperation
}

/** Process with its ledger, its store call, and the attempts whose call is scheduled or has begun. */
data class Process(
    val ledger: LedgerState = LedgerState(),
    val wakeAt: Instant? = null,
    val operation: StoreOperation? = null,
    val scheduled: Set<AttemptId> = emptySet(),
    val begun: Set<AttemptId> = emptySet(),
)

/** Status of a request; an ended request with a null [result] has lost its connection. */
data class RequestStatus(
    val sentTick: Int,
    val runsAtArrival: Int,
    val isEnded: Boolean = false,
    val result: ConfirmationResult? = null,
)

/** State of two processes, one store and the callers of one key. */
data class World(
    val tick: Int = 0,
    val version: Long = 0,
    val records: List<ConfirmationRecord> = emptyList(),
    val processes: List<Process> = listOf(Process(), Process()),
    val lateWrites: Set<StoreOperation.WriteSent> = emptySet(),
    val requests: List<RequestStatus> = emptyList(),
    val runs: List<AttemptId> = emptyList(),
    val crashed: Set<Int> = emptySet(),
    val faultsLeft: Int,
)

val worldStart: Instant = Instant.fromEpochSeconds(1_800_000_000)
val tickLength: Duration = 10.seconds
val worldKey: Digest = Digest("key")

/** Policy for deadlines of two ticks: waits of one tick, immediate retries and practically unlimited writes. */
val worldPolicy: LedgerPolicy =
    LedgerPolicy(
        claimWait = tickLength,
        retryBackoff = { Duration.ZERO },
        rereadBackoff = { tickLength },
        writeBurst = 1_000,
    )

fun timeOf(tick: Int): Instant = worldStart + tickLength * tick

fun attemptOf(request: Int): AttemptId = AttemptId("a$request")

fun answerOf(attempt: AttemptId): StoredAnswer = StoredAnswer(status = 200, body = "answer of $attempt")

fun keyOf(request: ScriptedRequest): ConfirmationKey = ConfirmationKey(worldKey, Digest(request.body))

/** Thrown if a rule does not hold. */
class Violation(
    message: String,
) : Exception(message)

fun rule(
    holds: Boolean,
    message: () -> String,
) {
    if (!holds) throw Violation(message())
}

/** Returns [world] after process [p] received [event]; performs the actions and checks the results of callers. */
fun Exploration.deliver(
    world: World,
    p: Int,
    event: LedgerEvent,
): World {
    val process = world.processes[p]
    val next = stepper(process.ledger, event, timeOf(world.tick), worldPolicy)
    var changed = process.copy(ledger = canonical(next.state), wakeAt = next.wakeAt)
    var requests = world.requests
    for (action in next.actions) {
        when (action) {
            LedgerAction.Read -> changed = changed.copy(operation = StoreOperation.ReadSent)
            is LedgerAction.Write -> changed = changed.copy(operation = writeOf(action))
            is LedgerAction.Run -> changed = changed.copy(scheduled = changed.scheduled + action.attempt)
            is LedgerAction.Answer -> requests = answer(world, requests, action)
        }
    }
    return world.copy(processes = world.processes.replaced(p, changed), requests = requests)
}

private fun writeOf(action: LedgerAction.Write) =
    StoreOperation.WriteSent(
        action.records.map {
            it.copy(changedAt = worldStart)
        },
        action.expected,
    )

private fun Exploration.answer(
    world: World,
    requests: List<RequestStatus>,
    action: LedgerAction.Answer,
): List<RequestStatus> {
    val index = action.call.number.toInt()
    val status = requests[index].copy(isEnded = true, result = action.result)
    rule(!requests[index].isEnded) { "request $index got two results" }
    checkResult(world, index, status)
    return requests.replaced(index, status)
}

private fun Exploration.checkResult(
    world: World,
    index: Int,
    status: RequestStatus,
) {
    val result = status.result
    if (result is ConfirmationResult.Answered) {
        rule(
            result.answer == world.runs.singleOrNull()?.let { answerOf(it) },
        ) { "request $index got an answer of no run" }
        val runBody = world.runs.map { script[requestOf(it)].body }
        rule(script[index].body in runBody) { "request $index got an answer of no run with its body" }
        val isDurable = world.records.any { it.answer == result.answer }
        rule(isDurable) { "request $index got an answer that is not durable" }
    }
    if (result is ConfirmationResult.Refused) {
        rule(attemptOf(index) !in world.runs) { "request $index was refused though it ran" }
        val isReportedNotRun = result.proof == ClaimProof.PROVEN_FREE
        rule(!isReportedNotRun || status.runsAtArrival == 0) { "request $index was reported as not run after a run" }
        val bodyRan = world.runs.any { script[requestOf(it)].body == script[index].body }
        rule(result.proof != ClaimProof.OTHER_BODY || !bodyRan) {
            "request $index was refused for a reused key after a run with its body"
        }
    }
}

/** Returns the index of the request that made [attempt]. */
fun requestOf(attempt: AttemptId): Int = attempt.text.drop(1).toInt()

/** Returns [world] after the call of [attempt] began at the back end. */
fun Exploration.begin(
    world: World,
    p: Int,
    attempt: AttemptId,
): World {
    rule(world.runs.isEmpty()) { "$attempt ran after ${world.runs}" }
    val request = world.requests[requestOf(attempt)]
    rule(request.result !is ConfirmationResult.Refused) { "$attempt ran after its request was refused" }
    val deadlineTick = request.sentTick + 2
    val toldNotRun =
        world.requests.filter {
            (it.result as? ConfirmationResult.Refused)?.proof == ClaimProof.PROVEN_FREE
        }
    rule(toldNotRun.none { it.sentTick >= deadlineTick }) { "$attempt ran after its deadline and a later 'not run'" }
    val process = world.processes[p]
    val begun = process.copy(scheduled = process.scheduled - attempt, begun = process.begun + attempt)
    return world.copy(processes = world.processes.replaced(p, begun), runs = world.runs + attempt)
}

/** Returns [world] after the call of [attempt] ended with [result]. */
fun Exploration.end(
    world: World,
    p: Int,
    attempt: AttemptId,
    result: CallResult,
): World {
    val process = world.processes[p]
    val ended = process.copy(scheduled = process.scheduled - attempt, begun = process.begun - attempt)
    val reported =
        if (isUnknownReportedAsNotRun && result is CallResult.Unknown) notRun else result
    val without = world.copy(processes = world.processes.replaced(p, ended))
    return deliver(without, p, LedgerEvent.Ended(worldKey, attempt, reported))
}

val notRun: CallResult = CallResult.NotRun(RefusalCode.UNREACHABLE, "no connection")
val unknown: CallResult = CallResult.Unknown("connection lost")

fun <T> List<T>.replaced(
    index: Int,
    value: T,
): List<T> = toMutableList().also { it[index] = value }

/**
 * Returns [state] in a form that is equal for equivalent situations.
 *
 * Turns are replaced by their rank. Times and counters that affect no decision in an exploration are dropped: the
 * retention time is never reached, retries are immediate, and the write rate is practically unlimited.
 */
fun canonical(state: LedgerState): LedgerState {
    val turns = sortedSetOf(state.turn)
    state.view?.let { turns += it.provenInTurn }
    state.calls.values.forEach { turns += listOf(it.arrivedInTurn, it.lastHeldTurn) }
    (state.store as? StoreActivity.Reading)?.let { turns += it.turn }
    (state.store as? StoreActivity.Writing)?.let { turns += it.turn }
    val rank = turns.withIndex().associate { (i, turn) -> turn to i.toLong() }
    return state.copy(
        turn = rank.getValue(state.turn),
        view =
            state.view?.let {
                it.copy(
                    records = timeless(it.records),
                    provenInTurn = rank.getValue(it.provenInTurn),
                )
            },
        calls = state.calls.mapValues { (_, call) -> canonical(call, rank) },
        attempts = state.attempts.mapValues { (_, own) -> if (own.isTimed()) own else own.copy(since = worldStart) },
        store = canonical(state.store, rank),
        failures = 0,
        retryAt = null,
        writeTokens = null,
        tokensSince = null,
    )
}

private fun OwnAttempt.isTimed() = phase == AttemptPhase.Claiming || phase is AttemptPhase.Releasing

private fun canonical(
    call: WaitingCall,
    rank: Map<Long, Long>,
): WaitingCall =
    call.copy(
        arrivedInTurn = rank.getValue(call.arrivedInTurn),
        lastHeldTurn = rank.getValue(call.lastHeldTurn),
        heldViews = call.heldViews.coerceAtMost(1),
    )

private fun canonical(
    store: StoreActivity,
    rank: Map<Long, Long>,
): StoreActivity =
    when (store) {
        StoreActivity.Idle -> store
        is StoreActivity.Reading -> store.copy(turn = rank.getValue(store.turn))
        is StoreActivity.Writing -> store.copy(turn = rank.getValue(store.turn), records = timeless(store.records))
    }

private fun timeless(records: ShardRecords): ShardRecords = records.mapValues { it.value.copy(changedAt = worldStart) }
