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

/** A step function of the ledger; planted faults replace it. */
typealias Stepper = (LedgerState, LedgerEvent, Instant, LedgerPolicy) -> LedgerStep

/** A request of the script: the process it goes to and its body; all have the same key. */
data class ScriptedRequest(
    val process: Int,
    val body: String = "body",
)

/** Settings of an exploration. */
data class Exploration(
    val script: List<ScriptedRequest>,
    val faults: Int,
    val ticks: Int = 4,
    val stepper: Stepper = ::step,
    val isStoreConditional: Boolean = true,
    val isUnknownReportedAsNotRun: Boolean = false,
    /** False leaves out the check that everything is settled, so that a planted fault shows as a broken rule. */
    val areEndingsChecked: Boolean = true,
)

/** What a process has open at the store; a paused process simply makes no transition. */
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

/** A process: its ledger, its store call, and the attempts whose call was ordered or has begun. */
data class Process(
    val ledger: LedgerState = LedgerState(),
    val wakeAt: Instant? = null,
    val operation: StoreOperation? = null,
    val ordered: Set<AttemptId> = emptySet(),
    val begun: Set<AttemptId> = emptySet(),
)

/** What became of a request; a null [result] of an ended request is a lost connection. */
data class Told(
    val sentTick: Int,
    val runsAtArrival: Int,
    val isEnded: Boolean = false,
    val result: ConfirmationResult? = null,
)

/** One state of two processes, one store and the callers of one key. */
data class World(
    val tick: Int = 0,
    val version: Long = 0,
    val records: List<ConfirmationRecord> = emptyList(),
    val processes: List<Process> = listOf(Process(), Process()),
    val lateWrites: Set<StoreOperation.WriteSent> = emptySet(),
    val requests: List<Told> = emptyList(),
    val runs: List<AttemptId> = emptyList(),
    val crashed: Set<Int> = emptySet(),
    val faultsLeft: Int,
)

val worldStart: Instant = Instant.fromEpochSeconds(1_800_000_000)
val tickLength: Duration = 10.seconds
val worldKey: Digest = Digest("key")

/** A deadline of two ticks, a claim wait and a reread of one; retries at once, writes without pace. */
val worldPolicy: LedgerPolicy =
    LedgerPolicy(
        claimWait = tickLength,
        retry = { Duration.ZERO },
        reread = { tickLength },
        writeBurst = 1_000,
    )

fun timeOf(tick: Int): Instant = worldStart + tickLength * tick

fun attemptOf(request: Int): AttemptId = AttemptId("a$request")

fun answerOf(attempt: AttemptId): StoredAnswer = StoredAnswer(status = 200, body = "answer of $attempt")

fun keyOf(request: ScriptedRequest): ConfirmationKey = ConfirmationKey(worldKey, Digest(request.body))

/** Is thrown when a rule does not hold. */
class Violation(
    message: String,
) : Exception(message)

fun rule(
    holds: Boolean,
    message: () -> String,
) {
    if (!holds) throw Violation(message())
}

/** Returns [world] after process [p] received [event]; performs the actions and checks what callers are told. */
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
            is LedgerAction.Run -> changed = changed.copy(ordered = changed.ordered + action.attempt)
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
    requests: List<Told>,
    action: LedgerAction.Answer,
): List<Told> {
    val index = action.call.number.toInt()
    val told = requests[index].copy(isEnded = true, result = action.result)
    rule(!requests[index].isEnded) { "request $index got two results" }
    checkTold(world, index, told)
    return requests.replaced(index, told)
}

private fun Exploration.checkTold(
    world: World,
    index: Int,
    told: Told,
) {
    val result = told.result
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
        val isToldNotRun = result.proof == ClaimProof.PROVEN_FREE
        rule(!isToldNotRun || told.runsAtArrival == 0) { "request $index was told not run after a run" }
        val bodyRan = world.runs.any { script[requestOf(it)].body == script[index].body }
        rule(result.proof != ClaimProof.OTHER_BODY || !bodyRan) { "request $index was told key reused after its run" }
    }
}

/** Returns the request whose attempt [attempt] is. */
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
    val promised = world.requests.filter { (it.result as? ConfirmationResult.Refused)?.proof == ClaimProof.PROVEN_FREE }
    rule(promised.none { it.sentTick >= deadlineTick }) { "$attempt ran after its deadline and a later 'not run'" }
    val process = world.processes[p]
    val begun = process.copy(ordered = process.ordered - attempt, begun = process.begun + attempt)
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
    val ended = process.copy(ordered = process.ordered - attempt, begun = process.begun - attempt)
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
 * Replaces counters that only grow by their order, and drops times that decide nothing here, so that equal situations
 * are equal states: retention is far away, retries are made at once, and writes are not paced.
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
