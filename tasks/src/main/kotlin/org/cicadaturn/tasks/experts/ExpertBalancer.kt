package org.cicadaturn.tasks.experts

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.apache.logging.log4j.LogManager
import org.cicadaturn.decisions.experts.DemandEstimate
import org.cicadaturn.decisions.experts.ExpertMap
import org.cicadaturn.decisions.experts.PlacementBounds
import org.cicadaturn.decisions.experts.PlacementPlan
import org.cicadaturn.decisions.experts.demandEstimate
import org.cicadaturn.decisions.experts.interruptedSwitch
import org.cicadaturn.decisions.experts.isWithin
import org.cicadaturn.decisions.experts.mapVersions
import org.cicadaturn.decisions.experts.planPlacement
import org.cicadaturn.decisions.experts.stepEstimate
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.ExpertProfile
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.tasks.Supervisor
import org.cicadaturn.tasks.gateway.Fleet
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Starts a task in [scope] that keeps [lease] and balances the expert maps of all groups while this process holds it.
 *
 * The lease is renewed only as long as the groups are balanced, as a group may be held. After a failure of either, the
 * lease is given up: this process acts again only with a higher token, for which the ranks refuse its earlier orders.
 * While other groups are balanced, a group that fails is discovered again after a pause.
 */
public fun startExpertBalancer(
    scope: CoroutineScope,
    fleet: Fleet,
    lease: Lease,
    client: RankClient,
    clock: Clock,
    supervisor: Supervisor = Supervisor(clock),
) {
    supervisor.start(scope, EXPERTS_TASK, beforeRestart = lease::forfeit) {
        launch { lease.keep() }
        ExpertBalancer(fleet, lease, client, clock, supervisor).run()
    }
}

private const val EXPERTS_TASK = "experts"

/** Group of ranks in one epoch. */
internal class Group(
    val name: String,
    val service: ServiceId,
    val epoch: Long,
    val ranks: Map<Int, LiveEndpoint>,
    val profile: ExpertProfile,
) {
    val bounds: PlacementBounds =
        PlacementBounds(profile.experts, ranks.size, profile.places, profile.newPlaces, MAX_NEW_EXPERTS)

    /** Returns true if [report] is of rank [rank] of this group, in any epoch. */
    fun isReportOf(
        rank: Int,
        report: RankReport,
    ): Boolean = report.group == name && report.rank == rank && report.size == ranks.size

    /** Returns true if [selections] has a count for each expert of the group, or none. */
    fun isCounted(selections: ExpertSelections): Boolean =
        selections.counts.isEmpty() || selections.counts.size == profile.sets * profile.experts
}

/** Discovers groups and starts a task for each of them; used by one coroutine only. */
private class ExpertBalancer(
    private val fleet: Fleet,
    private val lease: Lease,
    private val client: RankClient,
    private val clock: Clock,
    private val supervisor: Supervisor,
) {
    private class GroupTask(
        val group: String,
        val epoch: Long,
        val ids: Set<EndpointId>,
        val job: Job,
    )

    private val groupTasks = mutableListOf<GroupTask>()

    /** Groups whose balancing has failed and pauses. */
    private val failedGroups = HashSet<String>()
    private val versions = mapVersions()

    /** Last known demand by group; it outlasts the epochs of a group, whose map does not. */
    private val demands = HashMap<String, List<DoubleArray>>()
    private var token: Long? = null
    private var tokenSince = Instant.DISTANT_PAST
    private var asked = 0

    suspend fun run() =
        coroutineScope {
            while (true) {
                groupTasks.removeIf { !it.job.isActive }
                noteToken()
                if (token != null) discover(this)
                delay(DISCOVERY_INTERVAL)
            }
        }

    private fun noteToken() {
        val current = lease.token()
        if (current != token) tokenSince = clock.now()
        token = current
    }

    /** Starts a task for each group of endpoints that no task balances yet. */
    private suspend fun discover(scope: CoroutineScope) {
        val services =
            fleet.state.value.view.configuration
                ?.services
                .orEmpty()
        for (service in services) {
            val profile = service.experts ?: continue
            val report = askOne(unknownEndpoints(service.id)) ?: continue
            if (!report.isOpen) continue
            endEarlierEpochs(report)
            // Waits until the reports include the orders that the previous lease holder may have sent.
            delay(profile.reportLag * 2 - (clock.now() - tokenSince))
            startTasks(scope, service.id, profile)
        }
    }

    private fun unknownEndpoints(service: ServiceId): List<LiveEndpoint> {
        val known = groupTasks.flatMapTo(HashSet()) { it.ids }
        return fleet.state.value.view.endpoints
            .filter { it.service == service && it.id !in known }
    }

    /** Returns the report of one of [endpoints], another one each time, which spares the others while a group is down. */
    private suspend fun askOne(endpoints: List<LiveEndpoint>): RankReport? {
        if (endpoints.isEmpty()) return null
        asked += 1
        return client.report(endpoints[asked % endpoints.size])
    }

    /** Ends the tasks for earlier epochs of a group that runs again; the ranks refuse orders for these. */
    private fun endEarlierEpochs(report: RankReport) {
        val outdated = groupTasks.filter { it.group == report.group && it.epoch < report.state.epoch }
        outdated.forEach { it.job.cancel() }
        groupTasks -= outdated.toSet()
    }

    private suspend fun startTasks(
        scope: CoroutineScope,
        service: ServiceId,
        profile: ExpertProfile,
    ) {
        // An earlier report would hide what the previous lease holder has prepared, armed or held.
        val reports = gather(unknownEndpoints(service)) { client.report(it, isFresh = true) }
        for (members in reports.entries.groupBy { it.value.group }.values) {
            if (!isComplete(members.map { it.value })) continue
            val first = members.first().value
            val ids = members.map { it.key.id }.toSet()
            val job =
                scope.launch {
                    isolate(
                        first.group,
                    ) { balance(service, profile, members.associate { it.toPair() }) }
                }
            groupTasks += GroupTask(first.group, first.state.epoch, ids, job)
        }
    }

    /** Returns true if the reports cover all ranks of the group in one epoch and the group can run. */
    private fun isComplete(reports: List<RankReport>): Boolean {
        val epochs = reports.map { it.state.epoch }.toSet()
        val ranks = reports.map { it.rank }.toSet()
        val size = reports.first().size
        return epochs.size == 1 && ranks == (0 until size).toSet() && reports.size == size && reports.all { it.isOpen }
    }

    /** Runs [balance] for [group] and pauses after a failure, which ends the other tasks only if all groups fail. */
    private suspend fun isolate(
        group: String,
        balance: suspend () -> Unit,
    ) {
        supervisor.attempt(EXPERTS_TASK, "group $group") { balance() }?.let { return }
        failedGroups += group
        check(groupTasks.any { it.job.isActive && it.group !in failedGroups }) { "no group can be balanced" }
        // The endpoints are not discovered again while this coroutine is active.
        delay(GROUP_PAUSE)
        failedGroups -= group
    }

    /** Balances a group until the lease is lost or the group has to be discovered again. */
    private suspend fun balance(
        service: ServiceId,
        profile: ExpertProfile,
        members: Map<LiveEndpoint, RankReport>,
    ) {
        val first = members.values.first()
        val ranks = members.entries.associate { it.value.rank to it.key }
        val group = Group(first.group, service, first.state.epoch, ranks, profile)
        val orders = GroupOrders(group, client, lease, clock, versions)
        interruptedSwitch(members.values.associate { it.rank to it.state })?.let { phase ->
            logger.info("experts: {} resumes {}", group.name, phase)
            if (!orders.finish(phase)) return
        }
        val balancer = createBalancer(group, orders, members.values.maxOf { it.state.step }) ?: return
        if (!balancer.restore()) return
        while (lease.token() != null && balancer.cycle()) {
            demands[group.name] = balancer.choices()
            delay(if (balancer.isIdle) IDLE_INTERVAL else CYCLE_INTERVAL)
        }
    }

    /** Returns a balancer for the map that all ranks use, or null if their maps differ or the epoch has changed. */
    private suspend fun createBalancer(
        group: Group,
        orders: GroupOrders,
        step: Long,
    ): GroupBalancer? {
        val maps = gather(group.ranks.values.toList()) { client.map(it) }
        val byRank = group.ranks.mapValues { maps[it.value] }
        val inUse = byRank.values.map { it?.version }.toSet()
        val version = inUse.singleOrNull()
        if (version == null || byRank.values.any { it!!.epoch != group.epoch }) {
            logger.info(
                "experts: {} not balanced: maps or epochs of its ranks differ, map versions {}",
                group.name,
                inUse,
            )
            return null
        }
        if (byRank.values.any { it!!.experts.size != group.profile.sets }) {
            logger.info("experts: {} not balanced: a rank lists other than {} sets", group.name, group.profile.sets)
            return null
        }
        val sets =
            (0 until group.profile.sets).map { s ->
                group.ranks.keys
                    .sorted()
                    .map { r -> byRank.getValue(r)!!.experts[s] }
            }
        val map = ExpertMap(sets)
        if (!map.isWithin(group.bounds)) {
            logger.info("experts: {} not balanced: its ranks list no whole map: {}", group.name, sets)
            return null
        }
        logger.info("experts: {} epoch {} has {} ranks and map {}", group.name, group.epoch, group.ranks.size, version)
        return GroupBalancer(group, orders, client, clock, map, version, step, demands[group.name])
    }

    private companion object {
        val logger = LogManager.getLogger(ExpertBalancer::class.java)

        /** Bounds the calls and log lines of a group whose data is the cause of a failure each time. */
        val GROUP_PAUSE = 5.seconds

        /** Time between checks of the lease and for new groups; one endpoint is asked each time. */
        val DISCOVERY_INTERVAL = 100.milliseconds

        /** Time between reports of a group without requests, which cost a fraction of reads of its selections. */
        val IDLE_INTERVAL = 150.milliseconds

        /** Time between reads of the selections; demand shifts within seconds. */
        val CYCLE_INTERVAL = 250.milliseconds
    }
}

/** Balances the experts of one group in one epoch. */
private class GroupBalancer(
    val group: Group,
    private val orders: GroupOrders,
    private val client: RankClient,
    private val clock: Clock,
    private var map: ExpertMap,
    private var version: Long,
    step: Long,
    private val knownDemand: List<DoubleArray>?,
) {
    private val profile = group.profile
    private var rankIndex = 0
    private var switchStep = 0L
    private var lastStep = step
    private var readsWithoutSelections = 0

    /** True if several reads showed no new selections; the first one of a rank only tells where its counts start. */
    val isIdle: Boolean get() = readsWithoutSelections > 1
    private val steps = stepEstimate().also { it.read(step, clock.now()) }
    private val demand: DemandEstimate = demandEstimate(profile.sets, profile.experts, knownDemand)

    /** Returns the choices that the balancing is based on. */
    fun choices(): List<DoubleArray> = demand.choices()

    /**
     * Balances a group that has returned with its first map by the demand known before, as every pass until the first
     * reads would take more than twice its time; returns false if the group has to be discovered again.
     */
    suspend fun restore(): Boolean {
        val plan = planPlacement(map, knownDemand ?: return true, group.bounds)
        return plan.before - plan.after < MIN_SKEW_GAIN || change(plan)
    }

    /**
     * Reads the selections of a rank and changes the map if the gain is large enough; returns false if the group has to
     * be discovered again.
     */
    suspend fun cycle(): Boolean {
        if (isIdle) return awaitPasses()
        val rank = group.ranks.keys.sorted()[rankIndex % group.ranks.size]
        val selections = client.selections(group.ranks.getValue(rank)) ?: return false
        if (selections.epoch != group.epoch || !group.isCounted(selections)) return false
        steps.read(selections.step, clock.now())
        lastStep = selections.step
        val hasGrown = demand.add(rank, selections.counts)
        if (!hasGrown) return handleMissingSelections()
        readsWithoutSelections = 0
        // The ranks stay armed and refuse to copy experts until the pass of the last switch.
        if (selections.step < switchStep) return true
        val plan = planPlacement(map, demand.choices(), group.bounds)
        if (plan.before - plan.after < MIN_SKEW_GAIN) return true
        return change(plan)
    }

    /** Moves to the next rank after several reads, as a rank may have no requests. */
    private fun handleMissingSelections(): Boolean {
        readsWithoutSelections += 1
        if (isIdle) rankIndex += 1
        return true
    }

    /**
     * Ends the idle state if the group has begun a pass; returns false if it has to be discovered again, as it is held
     * or has a new epoch.
     *
     * A hold whose answer was lost may be executed long after the switch was abandoned, and does not expire.
     */
    private suspend fun awaitPasses(): Boolean {
        val report = client.report(group.ranks.getValue(GroupOrders.HOLDER)) ?: return false
        if (!group.isReportOf(GroupOrders.HOLDER, report)) return false
        val state = report.state
        if (state.epoch != group.epoch || state.held != null) return false
        if (state.step > lastStep) readsWithoutSelections = 0
        lastStep = maxOf(lastStep, state.step)
        return true
    }

    private suspend fun change(plan: PlacementPlan): Boolean {
        val next = orders.switch(plan, version, steps) ?: return false
        logger.info("experts: {} uses map {}: skew {} to {}", group.name, next.version, plan.before, plan.after)
        map = plan.map
        version = next.version
        switchStep = next.step
        return true
    }

    private companion object {
        val logger = LogManager.getLogger(GroupBalancer::class.java)

        /** Reduction of the skew below which copies and orders cost more than faster passes save. */
        const val MIN_SKEW_GAIN = 0.3
    }
}

/**
 * New experts of a rank in one change. One takes the least time to copy and gives most of the gain: streams stall beyond
 * their limit for a third less time than with one new expert for each set (bench placement, seed 1).
 */
private const val MAX_NEW_EXPERTS = 1

/** Runs [call] for all [endpoints] concurrently and returns the results that are not null. */
internal suspend fun <T : Any> gather(
    endpoints: List<LiveEndpoint>,
    call: suspend (LiveEndpoint) -> T?,
): Map<LiveEndpoint, T> =
    coroutineScope {
        endpoints
            .map { endpoint -> async { call(endpoint)?.let { endpoint to it } } }
            .awaitAll()
            .filterNotNull()
            .toMap()
    }
