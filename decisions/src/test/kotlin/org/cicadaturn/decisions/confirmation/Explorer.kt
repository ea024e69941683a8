package org.cicadaturn.decisions.confirmation

import com.dynatrace.hash4j.hashing.HashValue128
import com.dynatrace.hash4j.hashing.Hashing
import org.cicadaturn.schema.generated.ClaimState
import org.cicadaturn.schema.generated.Version

/** Possible next event in a [World]; [apply] returns the world after it. */
class Transition(
    val name: String,
    val isFault: Boolean = false,
    val apply: () -> World,
)

/** Result of an exploration; [violation] is null if every rule held in every state. */
data class Explored(
    val states: Int,
    val endings: Int,
    val violation: String?,
)

/** Visits every state that is reachable with the script and the allowed faults, in every order of events. */
fun explore(exploration: Exploration): Explored = Explorer(exploration).run()

private class Explorer(
    private val exploration: Exploration,
) {
    private val seen = HashSet<HashValue128>()
    private var endings = 0

    private class Visit(
        val name: String,
        val remaining: Iterator<Transition>,
    )

    fun run(): Explored {
        val path = ArrayDeque<Visit>()
        var violation: String? = null
        enter(World(faultsLeft = exploration.faults))?.let { path.addLast(Visit("start", it)) }
        while (path.isNotEmpty() && violation == null) {
            val remaining = path.last().remaining
            if (!remaining.hasNext()) {
                path.removeLast()
                continue
            }
            val transition = remaining.next()
            try {
                enter(transition.apply())?.let { path.addLast(Visit(transition.name, it)) }
            } catch (e: Violation) {
                violation = "${e.message}: ${path.drop(1).joinToString(", ") { it.name }}, ${transition.name}"
            }
        }
        return Explored(seen.size, endings, violation)
    }

    private fun enter(world: World): Iterator<Transition>? {
        if (!seen.add(Hashing.xxh3_128().hashCharsTo128Bits(world.toString()))) return null
        val transitions = exploration.transitions(world)
        if (exploration.areEndingsChecked && transitions.all { it.isFault }) checkEnding(world)
        return transitions.iterator()
    }

    /** Checks a final state: every request has a result, and no live process holds an unsettled claim. */
    private fun checkEnding(world: World) {
        endings++
        world.requests.forEachIndexed { i, request -> rule(request.isEnded) { "request $i was never answered" } }
        world.processes.forEachIndexed { p, process ->
            val unsettled = process.ledger.attempts.values
            rule(unsettled.isEmpty()) { "process $p never settled ${unsettled.map { it.id }}" }
        }
        for (record in world.records.filter { it.state == ClaimState.CLAIMED }) {
            val p = exploration.script[requestOf(record.attempt)].process
            val isLost = p in world.crashed || record.attempt in world.processes[p].ledger.lost
            rule(isLost) { "process $p left the claim of ${record.attempt} though it knows its outcome" }
        }
    }
}

private fun Exploration.transitions(world: World): List<Transition> =
    buildList {
        val next = world.requests.size
        if (next < script.size && world.tick <= ticks - 2) add(Transition("request $next") { send(world, next) })
        if (world.tick < ticks) add(Transition("tick") { world.copy(tick = world.tick + 1) })
        world.processes.indices.forEach { addAll(processTransitions(world, it)) }
        for (late in world.lateWrites) {
            val rest = world.copy(lateWrites = world.lateWrites - late)
            add(Transition("late write takes effect") { write(rest, late).first })
            add(Transition("late write is dropped") { rest })
        }
    }

private fun Exploration.send(
    world: World,
    index: Int,
): World {
    val request = script[index]
    val status = RequestStatus(sentTick = world.tick, runsAtArrival = world.runs.size)
    val deadline = timeOf(world.tick + 2)
    val event = LedgerEvent.Requested(CallId(index.toLong()), keyOf(request), attemptOf(index), deadline)
    return deliver(world.copy(requests = world.requests + status), request.process, event)
}

private fun Exploration.processTransitions(
    world: World,
    p: Int,
): List<Transition> =
    buildList {
        val process = world.processes[p]
        val wakeAt = process.wakeAt
        if (wakeAt != null && wakeAt <= timeOf(world.tick)) {
            add(Transition("wake $p") { deliver(world, p, LedgerEvent.TimerFired) })
        }
        addAll(storeTransitions(world, p))
        for (attempt in process.scheduled) {
            add(Transition("begin $attempt") { begin(world, p, attempt) })
            addFault(world, "not run $attempt") { end(it, p, attempt, notRun) }
        }
        for (attempt in process.begun) {
            val answered = CallResult.Answered(answerOf(attempt))
            add(Transition("answered $attempt") { end(world, p, attempt, answered) })
            addFault(world, "unknown $attempt") { end(it, p, attempt, unknown) }
        }
        for ((i, status) in world.requests.withIndex()) {
            if (script[i].process == p && !status.isEnded) addFault(world, "requester $i leaves") { leave(it, i) }
        }
        if (process != Process()) addFault(world, "crash $p") { crash(it, p) }
    }

private fun MutableList<Transition>.addFault(
    world: World,
    name: String,
    apply: (World) -> World,
) {
    if (world.faultsLeft == 0) return
    add(Transition(name, isFault = true) { apply(world.copy(faultsLeft = world.faultsLeft - 1)) })
}

private fun Exploration.storeTransitions(
    world: World,
    p: Int,
): List<Transition> =
    buildList {
        when (val operation = world.processes[p].operation ?: return emptyList()) {
            StoreOperation.ReadSent -> {
                add(Transition("read $p") { read(world, p) })
                addFault(world, "read $p fails") { readDone(it, p, ReadAnswer.Failed) }
            }

            is StoreOperation.ReadAnswered -> {
                add(Transition("read answer $p") { readDone(world, p, operation.answer) })
            }

            is StoreOperation.WriteSent -> {
                add(Transition("write $p") { writeAnswered(world, p, operation) })
                addFault(world, "write $p not reached") { writeDone(it, p, WriteAnswer.NoEffect) }
                addFault(world, "write $p delayed") {
                    writeDone(it.copy(lateWrites = it.lateWrites + operation), p, WriteAnswer.Unanswered)
                }
            }

            is StoreOperation.WriteAnswered -> {
                add(Transition("write answer $p") { writeDone(world, p, operation.answer) })
                addFault(world, "write answer $p lost") { writeDone(it, p, WriteAnswer.Unanswered) }
            }
        }
    }

private fun read(
    world: World,
    p: Int,
): World {
    val version = world.version.takeIf { it > 0 }?.let { Version(it) }
    return world.withOperation(p, StoreOperation.ReadAnswered(ReadAnswer.Value(version, world.records)))
}

private fun Exploration.readDone(
    world: World,
    p: Int,
    answer: ReadAnswer,
): World = deliver(world.withOperation(p, null), p, LedgerEvent.ReadDone(answer))

private fun Exploration.writeAnswered(
    world: World,
    p: Int,
    operation: StoreOperation.WriteSent,
): World {
    val (written, answer) = write(world, operation)
    return written.withOperation(p, StoreOperation.WriteAnswered(answer))
}

private fun Exploration.writeDone(
    world: World,
    p: Int,
    answer: WriteAnswer,
): World = deliver(world.withOperation(p, null), p, LedgerEvent.WriteDone(answer))

private fun Exploration.write(
    world: World,
    operation: StoreOperation.WriteSent,
): Pair<World, WriteAnswer> {
    val isExpected = (operation.expected?.number ?: 0L) == world.version
    if (isStoreConditional && !isExpected) return world to WriteAnswer.Conflict
    val version = world.version + 1
    return world.copy(version = version, records = operation.records) to WriteAnswer.Written(Version(version))
}

private fun World.withOperation(
    p: Int,
    operation: StoreOperation?,
): World = copy(processes = processes.replaced(p, processes[p].copy(operation = operation)))

/** Crashes process [p]: its waiting requests lose their connections, and its pending write may still take effect. */
private fun Exploration.crash(
    world: World,
    p: Int,
): World {
    val late = world.processes[p].operation as? StoreOperation.WriteSent
    val requests =
        world.requests.mapIndexed { i, status ->
            if (script[i].process == p && !status.isEnded) status.copy(isEnded = true) else status
        }
    return world.copy(
        processes = world.processes.replaced(p, Process()),
        lateWrites = world.lateWrites + listOfNotNull(late),
        requests = requests,
        crashed = world.crashed + p,
    )
}

private fun Exploration.leave(
    world: World,
    index: Int,
): World {
    val requests = world.requests.replaced(index, world.requests[index].copy(isEnded = true))
    return deliver(
        world.copy(requests = requests),
        script[index].process,
        LedgerEvent.Cancelled(CallId(index.toLong())),
    )
}
