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
import org.cicadaturn.decisions.experts.mapVersions
import org.cicadaturn.decisions.experts.planPlacement
import org.cicadaturn.decisions.experts.stepEstimate
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.ExpertProfile
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.tasks.gateway.Fleet
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds

/** Starts a task in [scope] that keeps the expert maps of all groups balanced while [lease] is held. */
public fun startConductor(
    scope: CoroutineScope,
    fleet: Fleet,
    lease: Lease,
    calls: RankClient,
    clock: Clock,
) {
    val conductor = Conductor(fleet, lease, calls, clock)
    scope.launch { conductor.run() }
}

/** Ranks of one group in one epoch. */
internal class Group(
    val name: String,
    val service: ServiceId,
    val epoch: Long,
    val ranks: Map<Int, LiveEndpoint>,
    val profile: ExpertProfile,
)

/** Finds the groups and starts a task for each; has one owner. */
private class Conductor(
    private val fleet: Fleet,
    private val lease: Lease,
    private val calls: RankClient,
    private val clock: Clock,
) {
    private class Work(
        val ids: Set<EndpointId>,
        val job: Job,
    )

    private val works = mutableListOf<Work>()
    private val versions = mapVersions()

    suspend fun run() =
        coroutineScope {
            while (true) {
                works.removeIf { !it.job.isActive }
                if (lease.token() != null) discover(this)
                delay(DISCOVERY_INTERVAL)
            }
        }

    /** Starts the work for groups of endpoints that no task balances yet. */
    private suspend fun discover(scope: CoroutineScope) {
        val view = fleet.state.value.view
        val known = works.flatMapTo(HashSet()) { it.ids }
        val services =
            view.configuration
                ?.services
                .orEmpty()
        for (service in services) {
            val profile = service.experts ?: continue
            val endpoints = view.endpoints.filter { it.service == service.id && it.id !in known }
            if (endpoints.isEmpty()) continue
            // What another process ordered just before must be in the reports.
            delay(profile.reportLag * 2)
            val reports = gather(endpoints) { calls.report(it) }
            reports.entries.groupBy { it.value.group }.values.forEach { members ->
                if (!isWhole(members.map { it.value })) return@forEach
                val ids = members.map { it.key.id }.toSet()
                works += Work(ids, scope.launch { balance(service.id, profile, members.associate { it.toPair() }) })
            }
        }
    }

    /** A group counts only if all its ranks report one epoch. */
    private fun isWhole(reports: List<RankReport>): Boolean {
        val epochs = reports.map { it.state.epoch }.toSet()
        val ranks = reports.map { it.rank }.toSet()
        val size = reports.first().size
        return epochs.size == 1 && ranks == (0 until size).toSet() && reports.size == size && reports.all { it.isOpen }
    }

    /** Balances a group until the lease is lost or the group has to be looked at anew. */
    private suspend fun balance(
        service: ServiceId,
        profile: ExpertProfile,
        members: Map<LiveEndpoint, RankReport>,
    ) {
        val first = members.values.first()
        val ranks = members.entries.associate { it.value.rank to it.key }
        val group = Group(first.group, service, first.state.epoch, ranks, profile)
        val orders = GroupOrders(group, calls, lease, clock, versions)
        interruptedSwitch(members.values.associate { it.rank to it.state })?.let { phase ->
            logger.info("experts: {} takes up {}", group.name, phase)
            if (!orders.finish(phase)) return
        }
        val work = open(group, orders) ?: return
        while (lease.token() != null && work.cycle()) delay(if (work.isIdle) IDLE_INTERVAL else CYCLE_INTERVAL)
    }

    /** Reads the map of every rank; returns null if they differ. */
    private suspend fun open(
        group: Group,
        orders: GroupOrders,
    ): GroupWork? {
        val maps = gather(group.ranks.values.toList()) { calls.map(it) }
        val byRank = group.ranks.mapValues { maps[it.value] }
        val inUse = byRank.values.map { it?.version }.toSet()
        val version = inUse.singleOrNull()
        if (version == null || byRank.values.any { it!!.epoch != group.epoch }) {
            logger.info("experts: {} has maps {}", group.name, inUse)
            return null
        }
        val sets =
            (0 until group.profile.sets).map { s ->
                group.ranks.keys
                    .sorted()
                    .map { r -> byRank.getValue(r)!!.experts[s] }
            }
        logger.info("experts: {} epoch {} has {} ranks and map {}", group.name, group.epoch, group.ranks.size, version)
        return GroupWork(group, orders, calls, clock, ExpertMap(sets), version)
    }

    private companion object {
        val logger = LogManager.getLogger(Conductor::class.java)

        /** Time between looks for the lease and for groups. */
        val DISCOVERY_INTERVAL = 250.milliseconds

        /** Time between reads of the counts of a group without requests. */
        val IDLE_INTERVAL = 700.milliseconds

        /** Time between reads of the counts; demand shifts within seconds. */
        val CYCLE_INTERVAL = 250.milliseconds
    }
}

/** The balancing of one group in one epoch. */
private class GroupWork(
    val group: Group,
    private val orders: GroupOrders,
    private val calls: RankClient,
    private val clock: Clock,
    private var map: ExpertMap,
    private var version: Long,
) {
    private val profile = group.profile
    private val bounds =
        PlacementBounds(profile.experts, group.ranks.size, profile.places, profile.newPlaces, NEW_IN_ALL)
    private var turn = 0
    private var settledFrom = 0L
    private var lacking = 0

    /** True while the group has no requests. */
    val isIdle: Boolean get() = lacking > 0
    private val steps = stepEstimate()
    private val demand: DemandEstimate = demandEstimate(profile.sets, profile.experts)

    /** Reads the counts of a rank and changes the map if that pays; returns false to look at the group anew. */
    suspend fun cycle(): Boolean {
        val rank = group.ranks.keys.sorted()[turn % group.ranks.size]
        val picked = calls.picked(group.ranks.getValue(rank)) ?: return false
        if (picked.epoch != group.epoch) return false
        steps.read(picked.step, clock.now())
        val hasGrown = demand.add(rank, picked.counts)
        if (!hasGrown) return lackOfDemand()
        lacking = 0
        // Until the pass of the last switch the ranks are armed and refuse copies.
        if (picked.step < settledFrom) return true
        val plan = planPlacement(map, demand.choices(), bounds)
        if (plan.before - plan.after < LEAST_GAIN) return true
        return change(plan)
    }

    /**
     * Turns to another rank from time to time, as a rank may have no requests; returns false if the group is held.
     *
     * A hold whose answer was lost may be carried out long after the switch was given up, and does not expire.
     */
    private suspend fun lackOfDemand(): Boolean {
        lacking += 1
        if (lacking % READS_BEFORE_NEXT_RANK != 0) return true
        turn += 1
        val holder = group.ranks.getValue(GroupOrders.HOLDER)
        return calls.report(holder)?.state?.held == null
    }

    private suspend fun change(plan: PlacementPlan): Boolean {
        val next = orders.switch(plan, version, steps) ?: return false
        logger.info("experts: {} uses map {}: skew {} to {}", group.name, next.version, plan.before, plan.after)
        map = plan.map
        version = next.version
        settledFrom = next.step
        return true
    }

    private companion object {
        val logger = LogManager.getLogger(GroupWork::class.java)

        /** Reads of a rank without choices after which another rank is read. */
        const val READS_BEFORE_NEXT_RANK = 4

        /** Gain in skew below which the copies and orders cost more than the faster passes bring. */
        const val LEAST_GAIN = 0.3

        /**
         * New experts for a rank in one change. One takes least time and gives most of the gain: streams are paused
         * for too long a third less of the time than with one for each set (bench placement, seed 1).
         */
        const val NEW_IN_ALL = 1
    }
}

/** Calls [call] for each of [endpoints] at once and returns what answered. */
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
