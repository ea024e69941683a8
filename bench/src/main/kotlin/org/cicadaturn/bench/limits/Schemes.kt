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

/** Length field in front of a frame, in bytes. */
private const val FRAME_HEAD = 4

/** Time until a process notices that a peer is lost; the default of the keep-alive. */
private val KEEPALIVE: Duration = 3.seconds

/** Is what the nodes and organisations of a run have in common. */
internal class BenchFleet(
    val nodes: Int,
    val organisations: List<OrganisationId>,
    val limit: OrganisationLimit,
    val lossShare: Double,
    val random: Random,
) {
    val ids = List(nodes) { ProcessId("entry-${it.toString().padStart(3, '0')}") }
}

/** Keeps limits in one way; the run calls it in virtual time. */
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

    /** Does what is due at [now] and returns the decisions on requests that waited. */
    fun step(now: Instant): List<SettledRequest>

    /** Separates the nodes in [cut] from all others, or joins them again if it is empty. */
    fun cut(
        cut: Set<Int>,
        now: Instant,
    )

    /** Ends the node that allocates for the first organisation; returns it, or null if the scheme has none. */
    fun loseAllocator(now: Instant): Int?

    /** Bytes that each node has sent. */
    val bytes: LongArray
}

/** Runs the decisions as built: one [LimitNode] for each node, and messages that take one step and may be lost. */
internal class SharedScheme(
    private val fleet: BenchFleet,
    start: Instant,
) : BenchScheme {
    private val index = fleet.ids.withIndex().associate { it.value to it.index }
    private val nodes = fleet.ids.map { LimitNode(it, LimitPolicy(), fleet.random.nextLong(1 shl 16)) }
    private var queue = ArrayList<Pair<Int, AddressedMessage>>()
    private var cut = emptySet<Int>()
    private val dead = HashSet<Int>()
    private var viewsDue: Instant? = null
    override val bytes = LongArray(fleet.nodes)

    init {
        val view = MembershipView(fleet.nodes, fleet.ids.toSet())
        val limits = fleet.organisations.associateWith { fleet.limit }
        // The processes are up for longer than a window, so that the run does not begin with their slow start.
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
        if (node !in dead) nodes[node].finished(organisation, id, tokens, now)
    }

    override fun step(now: Instant): List<SettledRequest> {
        if (viewsDue?.let { now >= it } == true) updateViews(now)
        val arrived = queue
        queue = ArrayList()
        for ((from, sent) in arrived) deliver(from, sent, now)
        val settled = ArrayList<SettledRequest>()
        nodes.forEachIndexed { i, node ->
            if (i in dead || !node.isActive) return@forEachIndexed
            val step = node.step(now)
            settled += step.settled
            step.messages.groupBy { it.to }.values.forEach { batch ->
                bytes[i] += encodeFrame(Frame.Limits(batch.map { it.message })).size + FRAME_HEAD
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
        val isLost = from in cut || to in cut || to in dead || fleet.random.nextDouble() < fleet.lossShare
        if (!isLost) nodes[to].receive(fleet.ids[from], sent.message, now)
    }

    override fun cut(
        cut: Set<Int>,
        now: Instant,
    ) {
        this.cut = cut
        viewsDue = now + KEEPALIVE
    }

    override fun loseAllocator(now: Instant): Int {
        val first = fleet.organisations.first()
        val lost = nodes.indices.first { i -> nodes[i].states(now).any { it.organisation == first && it.free != null } }
        dead += lost
        viewsDue = now + KEEPALIVE
        return lost
    }

    private fun updateViews(now: Instant) {
        viewsDue = null
        val connected = fleet.ids.filterIndexed { i, _ -> i !in cut && i !in dead }.toSet()
        nodes.forEachIndexed { i, node ->
            val live = if (i in cut) setOf(fleet.ids[i]) else connected
            if (i !in dead) node.updateMembership(MembershipView(fleet.nodes, live), now)
        }
    }
}

/** Is an exact sliding window of one owner. */
internal class ExactBudget(
    private val limit: Long,
) {
    private class Use(
        val at: Instant,
        var tokens: Long,
    )

    private val uses = ArrayDeque<Use>()
    private val running = HashMap<Long, Use>()
    private var sum = 0L

    fun tryCharge(
        id: Long,
        tokens: Long,
        now: Instant,
    ): Boolean {
        while (uses.isNotEmpty() && now - uses.first().at >= 1.minutes) sum -= uses.removeFirst().tokens
        if (sum + tokens > limit) return false
        val use = Use(now, tokens)
        uses.addLast(use)
        running[id] = use
        sum += tokens
        return true
    }

    fun correct(
        id: Long,
        tokens: Long,
    ) {
        val use = running.remove(id) ?: return
        // A charge that has left the window is not part of the sum any more.
        if (uses.isNotEmpty() && use.at >= uses.first().at) sum += tokens - use.tokens
        use.tokens = tokens
    }
}

/** Gives each node its equal part of each limit. */
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

    override fun cut(
        cut: Set<Int>,
        now: Instant,
    ) = Unit

    override fun loseAllocator(now: Instant): Int? = null
}

/** Asks one counter for each request; a node that cannot reach it refuses. Bytes are those of an ask and a grant. */
internal class CentralScheme(
    private val fleet: BenchFleet,
) : BenchScheme {
    private val budgets = fleet.organisations.associateWith { ExactBudget(fleet.limit.tokens) }
    private var cut = emptySet<Int>()
    private var isLost = false
    override val bytes = LongArray(fleet.nodes)

    override fun request(
        node: Int,
        organisation: OrganisationId,
        request: LimitRequest,
        now: Instant,
    ): LimitDecision {
        if (node != 0) {
            bytes[node] += askBytes(organisation, request)
            val isUnanswered = node in cut || 0 in cut || isLost || fleet.random.nextDouble() < 2 * fleet.lossShare
            if (isUnanswered) return refused
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

    override fun cut(
        cut: Set<Int>,
        now: Instant,
    ) {
        this.cut = cut
    }

    override fun loseAllocator(now: Instant): Int {
        isLost = true
        return 0
    }
}

private val refused = LimitDecision.Refused(LimitReason.TOKENS, 1.seconds, 0)

private fun decide(
    budget: ExactBudget,
    request: LimitRequest,
    now: Instant,
): LimitDecision =
    if (budget.tryCharge(request.id, request.tokens, now)) LimitDecision.Admitted(request.id, 0) else refused
