package org.cicadaturn.bench.limits

import org.cicadaturn.decisions.limits.AddressedMessage
import org.cicadaturn.decisions.limits.LimitDecision
import org.cicadaturn.decisions.limits.LimitNode
import org.cicadaturn.decisions.limits.LimitPolicy
import org.cicadaturn.decisions.limits.LimitReason
import org.cicadaturn.decisions.limits.LimitRequest
import org.cicadaturn.decisions.limits.MembershipView
import org.cicadaturn.decisions.limits.OrganisationLimit
import org.cicadaturn.decisions.limits.SettledRequest
import org.cicadaturn.schema.generated.Frame
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.tasks.wire.encodeFrame
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Size of the length field in front of a frame, in bytes. */
private const val FRAME_LENGTH_BYTES = 4

/** Time until a process notices that a peer is lost; the default timeout of the keep-alive. */
private val KEEPALIVE_TIMEOUT: Duration = 3.seconds

/** Nodes and organisations of a run, with what they have in common. */
internal class BenchFleet(
    val nodes: Int,
    val organisations: List<OrganisationId>,
    val limit: OrganisationLimit,
    val lossShare: Double,
    val random: Random,
) {
    val ids = List(nodes) { ProcessId("entry-${it.toString().padStart(3, '0')}") }
}

/** Scheme that enforces the limits, called by [BenchRun] in virtual time. */
internal interface BenchScheme {
    fun request(
        node: Int,
        organisation: OrganisationId,
        request: LimitRequest,
        now: Instant,
    ): LimitDecision

    fun finished(
        node: Int,
        organisation: OrganisationId,
        id: Long,
        tokens: Long,
        now: Instant,
    )

    /** Delivers messages and runs timers that are due at [now], and returns the decisions on waiting requests. */
    fun step(now: Instant): List<SettledRequest>

    /** Cuts all connections of the [isolated] nodes; an empty set restores the connections of all nodes. */
    fun isolate(
        isolated: Set<Int>,
        now: Instant,
    )

    /**
     * Stops the node that allocates the budget of the first organisation.
     *
     * @return the index of the node, or null if the scheme has no such node
     */
    fun stopAllocator(now: Instant): Int?

    /** Bytes of control traffic that each node has sent. */
    val bytes: LongArray
}

/** Scheme that the system uses: one [LimitNode] per node; messages take one step and can be lost. */
internal class SharedScheme(
    private val fleet: BenchFleet,
    start: Instant,
) : BenchScheme {
    private val index = fleet.ids.withIndex().associate { it.value to it.index }
    private val nodes = fleet.ids.map { LimitNode(it, LimitPolicy(), fleet.random.nextLong(1 shl 16)) }
    private var queue = ArrayList<Pair<Int, AddressedMessage>>()
    private var isolated = emptySet<Int>()
    private val stopped = HashSet<Int>()
    private var membershipDueAt: Instant? = null
    override val bytes = LongArray(fleet.nodes)

    init {
        val view = MembershipView(fleet.nodes, fleet.ids.toSet())
        val limits = fleet.organisations.associateWith { fleet.limit }
        // The processes have been running for longer than a window, so that their slow start is not part of the run.
        val up = start - 2.minutes
        nodes.forEach {
            it.updateMembership(view, up)
            it.configure(limits, up)
        }
    }

    override fun request(
        node: Int,
        organisation: OrganisationId,
        request: LimitRequest,
        now: Instant,
    ): LimitDecision = nodes[node].request(organisation, request, now)

    override fun finished(
        node: Int,
        organisation: OrganisationId,
        id: Long,
        tokens: Long,
        now: Instant,
    ) {
        if (node !in stopped) nodes[node].finished(organisation, id, tokens, now)
    }

    override fun step(now: Instant): List<SettledRequest> {
        if (membershipDueAt?.let { now >= it } == true) updateMembership(now)
        val arrived = queue
        queue = ArrayList()
        for ((from, sent) in arrived) deliver(from, sent, now)
        val settled = ArrayList<SettledRequest>()
        nodes.forEachIndexed { i, node ->
            if (i in stopped || !node.isActive) return@forEachIndexed
            val step = node.step(now)
            settled += step.settled
            step.messages.groupBy { it.to }.values.forEach { batch ->
                bytes[i] += encodeFrame(Frame.Limits(batch.map { it.message })).size + FRAME_LENGTH_BYTES
            }
            step.messages.forEach { queue.add(i to it) }
        }
        return settled
    }

    private fun deliver(
        from: Int,
        sent: AddressedMessage,
        now: Instant,
    ) {
        val to = index.getValue(sent.to)
        val isLost = from in isolated || to in isolated || to in stopped || fleet.random.nextDouble() < fleet.lossShare
        if (!isLost) nodes[to].receive(fleet.ids[from], sent.message, now)
    }

    override fun isolate(
        isolated: Set<Int>,
        now: Instant,
    ) {
        this.isolated = isolated
        membershipDueAt = now + KEEPALIVE_TIMEOUT
    }

    override fun stopAllocator(now: Instant): Int {
        val first = fleet.organisations.first()
        val allocator =
            nodes.indices.first { i ->
                nodes[i].states(now).any { it.organisation == first && it.free != null }
            }
        stopped += allocator
        membershipDueAt = now + KEEPALIVE_TIMEOUT
        return allocator
    }

    private fun updateMembership(now: Instant) {
        membershipDueAt = null
        val connected = fleet.ids.filterIndexed { i, _ -> i !in isolated && i !in stopped }.toSet()
        nodes.forEachIndexed { i, node ->
            val live = if (i in isolated) setOf(fleet.ids[i]) else connected
            if (i !in stopped) node.updateMembership(MembershipView(fleet.nodes, live), now)
        }
    }
}

/** Sliding window of one minute that counts the tokens of all charges exactly. */
internal class ExactBudget(
    private val limit: Long,
) {
    private class Charge(
        val at: Instant,
        var tokens: Long,
    )

    private val charges = ArrayDeque<Charge>()
    private val running = HashMap<Long, Charge>()
    private var sum = 0L

    fun tryCharge(
        id: Long,
        tokens: Long,
        now: Instant,
    ): Boolean {
        while (charges.isNotEmpty() && now - charges.first().at >= 1.minutes) sum -= charges.removeFirst().tokens
        if (sum + tokens > limit) return false
        val charge = Charge(now, tokens)
        charges.addLast(charge)
        running[id] = charge
        sum += tokens
        return true
    }

    fun correct(
        id: Long,
        tokens: Long,
    ) {
        val charge = running.remove(id) ?: return
        // A charge that has left the window is no longer part of the sum.
        if (charges.isNotEmpty() && charge.at >= charges.first().at) sum += tokens - charge.tokens
        charge.tokens = tokens
    }
}

/** Scheme in which each node enforces an equal part of each limit. */
internal class StaticScheme(
    private val fleet: BenchFleet,
) : BenchScheme {
    private val budgets = HashMap<Pair<Int, OrganisationId>, ExactBudget>()
    override val bytes = LongArray(fleet.nodes)

    private fun budget(
        node: Int,
        organisation: OrganisationId,
    ) = budgets.getOrPut(node to organisation) { ExactBudget(fleet.limit.tokens / fleet.nodes) }

    override fun request(
        node: Int,
        organisation: OrganisationId,
        request: LimitRequest,
        now: Instant,
    ): LimitDecision = decide(budget(node, organisation), request, now)

    override fun finished(
        node: Int,
        organisation: OrganisationId,
        id: Long,
        tokens: Long,
        now: Instant,
    ) {
        budget(node, organisation).correct(id, tokens)
    }

    override fun step(now: Instant): List<SettledRequest> = emptyList()

    override fun isolate(
        isolated: Set<Int>,
        now: Instant,
    ) = Unit

    override fun stopAllocator(now: Instant): Int? = null
}

/**
 * Scheme in which the counter of node 0 decides on each request.
 *
 * A node that cannot reach node 0 refuses its requests. The control traffic of a request is a budget request and
 * a grant, and a message of the same size as a grant with the real number of tokens.
 */
internal class CentralScheme(
    private val fleet: BenchFleet,
) : BenchScheme {
    private val budgets = fleet.organisations.associateWith { ExactBudget(fleet.limit.tokens) }
    private var isolated = emptySet<Int>()
    private var isStopped = false
    override val bytes = LongArray(fleet.nodes)

    override fun request(
        node: Int,
        organisation: OrganisationId,
        request: LimitRequest,
        now: Instant,
    ): LimitDecision {
        if (node != 0) {
            bytes[node] += budgetRequestBytes(organisation, request)
            val isUnanswered =
                node in isolated || 0 in isolated || isStopped || fleet.random.nextDouble() < 2 * fleet.lossShare
            if (isUnanswered) return refusal
            bytes[0] += grantBytes(organisation, request)
        }
        return decide(budgets.getValue(organisation), request, now)
    }

    override fun finished(
        node: Int,
        organisation: OrganisationId,
        id: Long,
        tokens: Long,
        now: Instant,
    ) {
        if (node != 0) bytes[node] += grantBytes(organisation, LimitRequest(id, tokens, now))
        budgets.getValue(organisation).correct(id, tokens)
    }

    override fun step(now: Instant): List<SettledRequest> = emptyList()

    override fun isolate(
        isolated: Set<Int>,
        now: Instant,
    ) {
        this.isolated = isolated
    }

    override fun stopAllocator(now: Instant): Int {
        isStopped = true
        return 0
    }
}

private val refusal = LimitDecision.Refused(LimitReason.TOKENS, 1.seconds, 0)

private fun decide(
    budget: ExactBudget,
    request: LimitRequest,
    now: Instant,
): LimitDecision =
    if (budget.tryCharge(request.id, request.tokens, now)) LimitDecision.Admitted(request.id, 0) else refusal
