package org.cicadaturn.bench.confirmations

import org.cicadaturn.schema.generated.ConfirmationsBenchOptions

/**
 * Runs the benchmark and prints its result.
 *
 * The optional arguments are the seed, the number of histories, the number of shards and the rates.
 */
public fun main(args: Array<String>) {
    val numbers = args.map { it.toLong() }
    val defaults = ConfirmationsBenchOptions()
    val options =
        ConfirmationsBenchOptions(
            seed = numbers.getOrElse(0) { defaults.seed },
            histories = numbers.getOrElse(1) { defaults.histories.toLong() }.toInt(),
            shards = numbers.getOrElse(2) { defaults.shards.toLong() }.toInt(),
            rates = if (numbers.size > 3) numbers.drop(3).map { it.toInt() } else defaults.rates,
        )
    print(confirmationsBench(options).toText())
}
