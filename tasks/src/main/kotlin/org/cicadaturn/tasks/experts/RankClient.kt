package org.cicadaturn.tasks.experts

import org.cicadaturn.decisions.experts.OrderAnswer
import org.cicadaturn.decisions.experts.RankOrder
import org.cicadaturn.decisions.experts.RankState
import org.cicadaturn.schema.generated.LiveEndpoint
import kotlin.time.Duration

/**
 * Report of an endpoint about its state as a rank of a group.
 *
 * @property size number of ranks of the group
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
 * Number of times that the requests of a rank selected each expert since the rank started.
 *
 * @property step last pass that was begun
 * @property counts selections of each expert, set after set; empty if there were none
 */
public class ExpertSelections(
    public val step: Long,
    public val epoch: Long,
    public val counts: DoubleArray,
)

/**
 * Expert map that a rank uses.
 *
 * @property experts experts that the rank holds, by set
 */
public data class RankMap(
    val version: Long,
    val epoch: Long,
    val experts: List<List<Int>>,
)

/** Connection to a rank that carries one order; [close] ends it if it has carried none. */
public interface OrderConnection {
    /** Sends [order] for [epoch] with fencing [token], waits up to [timeout] for the answer, and closes the connection. */
    public suspend fun send(
        order: RankOrder,
        epoch: Long,
        token: Long,
        timeout: Duration,
    ): OrderAnswer

    public fun close()
}

/** Client for the ranks of expert-parallel groups; a null result means that no usable answer arrived in time. */
public interface RankClient {
    /**
     * Returns the report of [endpoint], which is as old as the report lag of the service.
     *
     * Without [isFresh] the call is cheaper, but the result may be an earlier report that the endpoint sent twice.
     */
    public suspend fun report(
        endpoint: LiveEndpoint,
        isFresh: Boolean = false,
    ): RankReport?

    /** Returns the experts that the requests of [endpoint] selected. */
    public suspend fun selections(endpoint: LiveEndpoint): ExpertSelections?

    /** Returns the expert map that [endpoint] uses. */
    public suspend fun map(endpoint: LiveEndpoint): RankMap?

    /** Opens a connection to [endpoint] for a later order; null if that takes longer than [timeout] or is refused. */
    public suspend fun connect(
        endpoint: LiveEndpoint,
        timeout: Duration,
    ): OrderConnection?

    /** Sends [order] to [endpoint] for [epoch] with fencing [token] and waits up to [timeout] for the answer. */
    public suspend fun order(
        endpoint: LiveEndpoint,
        order: RankOrder,
        epoch: Long,
        token: Long,
        timeout: Duration,
    ): OrderAnswer
}
