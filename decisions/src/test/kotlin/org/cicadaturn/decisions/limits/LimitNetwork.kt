package org.cicadaturn.decisions.limits

import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.ProcessId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Simulated network of limit nodes that loses and duplicates messages, and records the admitted requests. */
internal class LimitNetwork(
    size: Int,
    private val limit: OrganisationLimit,
    private val random: Random,
    private val loss: Double,
    private val leastUse: Double = 0.25,
) {
    private class Use(
        val at: Instant,
        var tokens: Long,
    )

    private class Run(
        val id: Long,
        val process: ProcessId,
        val end: Instant,
        val use: Use,
    )

    private val organisation = OrganisationId("survey")
    val ids = List(size) { ProcessId("entry-$it") }
    private val admitted = ArrayList<Use>()
    var now: Instant = Instant.fromEpochSeconds(1_000)
    var mostInFlight = 0
    private val nodes = ids.associateWithTo(HashMap()) { LimitNode(it, LimitPolicy(), random.nextLong(1 shl 16)) }
    private val dead = HashSet<ProcessId>()
    private val disconnected = HashSet<ProcessId>()
    private var queue = ArrayList<Pair<ProcessId, AddressedMessage>>()
    private val waiting = HashMap<Long, Long>()
    private val runs = ArrayList<Run>()
    private var lastId = 0L

    init {
        val all = MembershipView(size, ids.toSet())
        nodes.values.forEach {
            // The processes have run for longer than a window, so they know that nothing was used.
            it.updateMembership(all, now - 2.minutes)
            it.configure(mapOf(organisation to limit), now - 2.minutes)
        }
    }

    fun allocator(): ProcessId {
        val connected = ids - dead - disconnected
        return placementsOf(listOf(organisation), connected).getValue(organisation).allocator
    }

    fun kill(id: ProcessId) {
        dead += id
        nodes.remove(id)
        runs.removeAll { it.process == id }
    }

    fun disconnect(id: ProcessId) {
        disconnected += id
    }

    /** Gives each process the membership view that results from its keep-alive checks. */
    fun updateViews() {
        val connected = ids.filter { it !in dead && it !in disconnected }.toSet()
        nodes.forEach { (id, node) ->
            node.updateMembership(MembershipView(ids.size, if (id in disconnected) setOf(id) else connected), now)
        }
    }

    fun request(
        at: ProcessId,
        tokens: Long,
    ) {
        val node = nodes[at] ?: return
        val id = ++lastId
        val decision = node.request(organisation, LimitRequest(id, tokens, now + 500.milliseconds), now)
        if (decision is LimitDecision.Admitted) recordAdmission(at, id, tokens)
        if (decision is LimitDecision.Waiting) waiting[id] = tokens
    }

    private fun recordAdmission(
        at: ProcessId,
        id: Long,
        tokens: Long,
    ) {
        val use = Use(now, tokens)
        admitted += use
        runs += Run(id, at, now + random.nextInt(100, 5_000).milliseconds, use)
        mostInFlight = maxOf(mostInFlight, runs.size)
    }

    /** Ends the runs that are due; each has used between [leastUse] and all of its estimated tokens. */
    private fun finishRuns() {
        val due = runs.filter { it.end <= now }
        runs.removeAll(due.toSet())
        for (run in due) {
            run.use.tokens = random.nextLong((run.use.tokens * leastUse).toLong(), run.use.tokens + 1)
            nodes[run.process]?.finished(organisation, run.id, run.use.tokens, now)
        }
    }

    fun tick() {
        now += 50.milliseconds
        val arrived = queue
        queue = ArrayList()
        for ((from, sent) in arrived) {
            val isUnreachable =
                (from in disconnected) != (sent.to in disconnected) || (from in disconnected && from != sent.to)
            if (isUnreachable || random.nextDouble() < loss) continue
            val copies = if (random.nextDouble() < loss) 2 else 1
            repeat(copies) { nodes[sent.to]?.receive(from, sent.message, now) }
        }
        finishRuns()
        for ((id, node) in nodes.toList()) {
            val step = node.step(now)
            queue += step.messages.map { id to it }
            step.settled.forEach { s ->
                val tokens = waiting.remove(s.id) ?: return@forEach
                if (s.decision is LimitDecision.Admitted) recordAdmission(id, s.id, tokens)
            }
        }
    }

    /** Returns the most tokens used in any minute; the real count of a request is used at its admission. */
    fun worstMinute(): Long {
        var worst = 0L
        var sum = 0L
        var first = 0
        for (use in admitted) {
            sum += use.tokens
            while (use.at - admitted[first].at >= 1.minutes) sum -= admitted[first++].tokens
            worst = maxOf(worst, sum)
        }
        return worst
    }

    fun admittedIn(
        from: Instant,
        time: Duration,
    ): Long = admitted.filter { it.at - from in 0.seconds..time }.sumOf { it.tokens }
}
