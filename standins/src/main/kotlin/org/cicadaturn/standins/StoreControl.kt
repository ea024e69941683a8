package org.cicadaturn.standins

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.SendChannel
import org.cicadaturn.schema.generated.StoreCounts
import org.cicadaturn.schema.generated.StoreFaults
import kotlin.time.Duration

/** Sets the faults of a simulated store and reads its counters. */
public interface StoreControl {
    /** Replaces all faults with [faults]; returns when they are in effect. */
    public suspend fun setFaults(faults: StoreFaults)

    /** Returns the faults in effect; `loseNext` is the number of answers still to be lost. */
    public suspend fun faults(): StoreFaults

    /** Returns the counters. */
    public suspend fun counts(): StoreCounts

    /** Suspends until at least [watches] watches are waiting for a change. */
    public suspend fun awaitWaitingWatches(watches: Int)
}

/** Controls the store by messages to its owner. */
internal class OwnerControl(
    private val inbox: SendChannel<StoreMessage>,
) : StoreControl {
    override suspend fun setFaults(faults: StoreFaults) {
        requireValid(faults)
        ask { StoreMessage.SetFaults(faults, it) }
    }

    override suspend fun faults(): StoreFaults = ask { StoreMessage.ReadFaults(it) }

    override suspend fun counts(): StoreCounts = ask { StoreMessage.ReadCounts(it) }

    override suspend fun awaitWaitingWatches(watches: Int) = ask<Unit> { StoreMessage.AwaitWaitingWatches(watches, it) }

    private suspend fun <T> ask(message: (CompletableDeferred<T>) -> StoreMessage): T {
        val reply = CompletableDeferred<T>()
        inbox.send(message(reply))
        return reply.await()
    }
}

private fun requireValid(faults: StoreFaults) {
    require(!faults.delay.isNegative()) { "delay is ${faults.delay}; give no negative duration" }
    require(faults.loseNext >= 0) { "loseNext is ${faults.loseNext}; give no negative number" }
    require(faults.losePercent in 0..100) { "losePercent is ${faults.losePercent}; give 0 to 100" }
    faults.lags.forEach {
        require(it.lag > Duration.ZERO) { "lag of ${it.prefix} is ${it.lag}; give a positive duration" }
    }
}
