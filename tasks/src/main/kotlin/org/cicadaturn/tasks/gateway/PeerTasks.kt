package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.CoroutineScope
import org.cicadaturn.decisions.quarantine.lossWeights
import org.cicadaturn.decisions.quarantine.segmentQuarantine
import org.cicadaturn.decisions.quarantine.trialRegistry
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.tasks.Supervisor
import org.cicadaturn.tasks.http.HttpConnector
import org.cicadaturn.tasks.http.isRefusedAt
import kotlin.time.Duration.Companion.milliseconds

/** Starts the tasks of a gateway process that exchange what they know with those of its peers. */
internal class PeerTasks(
    private val scope: CoroutineScope,
    private val self: GatewayPeer,
    private val fleet: Fleet,
    private val connector: HttpConnector,
    private val dependencies: GatewayDependencies,
    private val supervisor: Supervisor,
) {
    /** Starts the exchange of the limits that endpoints name and of the endpoints that leave, as [balancer] knows them. */
    fun startLimitExchange(
        balancer: Balancer,
        metrics: LimitMetrics,
    ): LimitExchange =
        startLimitExchange(
            scope,
            LimitExchangeDependencies(
                self = self.id,
                limits = balancer.limits,
                notices = balancer.notices,
                fleet = fleet,
                exchange = { other, news -> exchangeLimits(connector, other, news) },
                metrics = metrics,
                random = dependencies.random,
                clock = dependencies.clock,
            ),
            supervisor,
        )

    /** Starts the quarantine of prompt segments that crash endpoints, apart from those that leave as [balancer] knows. */
    fun startQuarantine(
        balancer: Balancer,
        metrics: QuarantineMetrics,
    ): Quarantine =
        startQuarantine(
            scope,
            QuarantineDependencies(
                self = self.id,
                quarantine = segmentQuarantine(),
                weights = lossWeights(),
                trials = trialRegistry(self.id),
                fleet = fleet,
                store = dependencies.store,
                refusesConnections = { connector.isRefusedAt(it, CRASH_PROBE_TIMEOUT) },
                exchange = { other, news -> exchangeNews(connector, other, news) },
                metrics = metrics,
                random = dependencies.random,
                clock = dependencies.clock,
                wallClock = dependencies.wallClock,
                isLeaving = { balancer.notices.isLeaving(it) },
            ),
            supervisor,
        )

    private companion object {
        /** The host of an endpoint that has ended refuses connections within a few milliseconds. */
        val CRASH_PROBE_TIMEOUT = 150.milliseconds
    }
}
