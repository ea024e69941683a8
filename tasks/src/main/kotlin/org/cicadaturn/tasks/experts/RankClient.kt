package org.cicadaturn.tasks.experts

import org.cicadaturn.decisions.experts.OrderAnswer
import org.cicadaturn.decisions.experts.RankOrder
import org.cicadaturn.decisions.experts.RankState
import org.cicadaturn.schema.generated.LiveEndpoint
import kotlin.time.Duration

/**
 * What an endpoint reports of itself as a rank.
 *
 * @property size ranks of the group
 * @property isOpen false while the group cannot run
 */
public data class RankReport(
    val group: String,
    val rank: Int,
    val size: Int,
    val isOpen: Boolean,
    val state: RankState,
)

/**
 * How often the requests of a rank chose each expert since it started.
 *
 * @property counts set after set, the choices of each expert; empty if there were none
 */
public class PickedExperts(
    public val step: Long,
    public val epoch: Long,
    public val counts: DoubleArray,
)

/**
 * Map of a rank.
 *
 * @property experts experts that the rank holds, by set
 */
public data class RankMap(
    val version: Long,
    val epoch: Long,
    val experts: List<List<Int>>,
)

/** Calls to the ranks of expert-parallel groups; a null result means that no usable answer came in time. */
public interface RankClient {
    /** Returns what [endpoint] reports; it is as old as the service's report lag. */
    public suspend fun report(endpoint: LiveEndpoint): RankReport?

    /** Returns what the requests of [endpoint] chose. */
    public suspend fun picked(endpoint: LiveEndpoint): PickedExperts?

    /** Returns the map that [endpoint] uses. */
    public suspend fun map(endpoint: LiveEndpoint): RankMap?

    /** Gives [order] to [endpoint] for [epoch] with fencing [token] and waits for the answer for [patience]. */
    public suspend fun order(
        endpoint: LiveEndpoint,
        order: RankOrder,
        epoch: Long,
        token: Long,
        patience: Duration,
    ): OrderAnswer
}
