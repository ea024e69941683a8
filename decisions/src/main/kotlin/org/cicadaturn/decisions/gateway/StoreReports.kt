package org.cicadaturn.decisions.gateway

import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.PartReport
import org.cicadaturn.schema.generated.StorePosition
import org.cicadaturn.schema.generated.StoreReport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Answers of the store about the parts of the fleet, as received by this process and as reported by a peer. Has one
 * owner and is not safe for concurrent use.
 *
 * A peer that has read the store at a moment confirms what this process knows if the part has not changed since the
 * position that this process knows. Only answers of the store itself are reported, never the reports of others.
 */
public interface StoreReports {
    /** Number of answers of the store about shared parts. */
    public val count: Long

    /**
     * Records an answer of the store for [part] at [at] of the suspend-aware clock.
     *
     * @param isChanged true if the part may have changed since the answer before
     */
    public fun answered(
        part: FleetPart,
        position: StorePosition,
        isChanged: Boolean,
        at: Instant,
    )

    /** Records that this process has merged the [view] of a peer. */
    public fun relayed(view: FleetView)

    /**
     * Records the [answer] of a peer to a request that was sent at [sentAt].
     *
     * The time on the way counts as age of the confirmation, so an answer that was held up on its way confirms less.
     */
    public fun reported(
        answer: StoreReport,
        sentAt: Instant,
        now: Instant,
    )

    /** Returns the answer to a peer whose request was held for [held], at [at] of the suspend-aware clock. */
    public fun answer(
        held: Duration,
        at: Instant,
    ): StoreReport

    /** Returns until when a peer's report makes a watch of [part] with the usual wait needless. */
    public fun confirmedUntil(part: FleetPart): Instant
}

/** Returns reports without any answer; [validity] of a part is null if it is not shared. */
public fun storeReports(validity: (FleetPart) -> Duration?): StoreReports = RecordedReports(validity)

private class RecordedReports(
    private val validity: (FleetPart) -> Duration?,
) : StoreReports {
    private class Known {
        var position = StorePosition()
        var changePosition = StorePosition()
        var answeredAt: Instant? = null
        var confirmedUntil = Instant.DISTANT_PAST
    }

    private val parts = FleetPart.entries.associateWith { Known() }
    override var count = 0L
        private set

    override fun answered(
        part: FleetPart,
        position: StorePosition,
        isChanged: Boolean,
        at: Instant,
    ) {
        val known = parts.getValue(part)
        // An answer that the store sent before an earlier one says nothing about the present.
        if (position < known.position) return
        known.position = position
        known.answeredAt = at
        if (isChanged) known.changePosition = position
        if (validity(part) != null) count += 1
    }

    override fun relayed(view: FleetView) {
        recordRelay(FleetPart.CONFIGURATION, view.configurationPosition)
        recordRelay(FleetPart.ENDPOINTS, view.endpointsPosition)
        recordRelay(FleetPart.DRAINED_DOMAINS, view.domainsPosition)
    }

    private fun recordRelay(
        part: FleetPart,
        position: StorePosition,
    ) {
        val known = parts.getValue(part)
        if (position <= known.position) return
        known.position = position
        known.changePosition = position
    }

    override fun reported(
        answer: StoreReport,
        sentAt: Instant,
        now: Instant,
    ) {
        val receivedAt = sentAt + answer.held
        recordReport(FleetPart.CONFIGURATION, answer.configuration, receivedAt, now)
        recordReport(FleetPart.ENDPOINTS, answer.endpoints, receivedAt, now)
        recordReport(FleetPart.DRAINED_DOMAINS, answer.drainedDomains, receivedAt, now)
    }

    private fun recordReport(
        part: FleetPart,
        report: PartReport?,
        answeredAt: Instant,
        now: Instant,
    ) {
        if (report == null) return
        val known = parts.getValue(part)
        val valid = validity(part) ?: return
        // A peer that has not read the restored store says nothing about it.
        if (report.changePosition.era < known.position.era) return
        known.confirmedUntil =
            if (report.changePosition <= known.position) {
                maxOf(known.confirmedUntil, minOf(answeredAt - report.age, now) + valid)
            } else {
                minOf(known.confirmedUntil, now + CHANGE_TIME)
            }
    }

    override fun answer(
        held: Duration,
        at: Instant,
    ): StoreReport =
        StoreReport(
            count = count,
            held = held,
            configuration = reportOf(FleetPart.CONFIGURATION, at),
            endpoints = reportOf(FleetPart.ENDPOINTS, at),
            drainedDomains = reportOf(FleetPart.DRAINED_DOMAINS, at),
        )

    private fun reportOf(
        part: FleetPart,
        at: Instant,
    ): PartReport? {
        val known = parts.getValue(part)
        return known.answeredAt?.let { PartReport(known.changePosition, at - it) }
    }

    override fun confirmedUntil(part: FleetPart): Instant = parts.getValue(part).confirmedUntil

    private companion object {
        /** Time in which the answer to a watch of one's own usually brings a change that a peer already knows. */
        val CHANGE_TIME = 500.milliseconds
    }
}
