package org.cicadaturn.decisions.routing

import org.cicadaturn.schema.generated.RefusalCode

/** Returns a chooser that takes the eligible candidates in turn; a baseline for measurements. */
public fun roundRobinChooser(): EndpointChooser {
    var turn = 0
    return { input -> input.deadlineRefusal() ?: nextInTurn(input, turn++) }
}

/** Returns a chooser that takes the candidate with the fewest own requests in flight; a baseline for measurements. */
public fun leastInFlightChooser(): EndpointChooser {
    var turn = 0
    return { input -> input.deadlineRefusal() ?: leastInFlight(input, turn++) }
}

private fun nextInTurn(
    input: RoutingInput,
    turn: Int,
): Choice {
    repeat(input.size) { offset ->
        val candidate = input[Math.floorMod(turn + offset, input.size)]
        if (input.isEligible(candidate)) return Choice.Chosen(candidate.endpoint)
    }
    return noEndpoint(input)
}

private fun leastInFlight(
    input: RoutingInput,
    turn: Int,
): Choice {
    var best: Candidate? = null
    // Starting at another candidate each time distributes ties evenly.
    repeat(input.size) { offset ->
        val candidate = input[Math.floorMod(turn + offset, input.size)]
        val isBetter = candidate.own.requests < (best?.own?.requests ?: Int.MAX_VALUE)
        if (isBetter && input.isEligible(candidate)) best = candidate
    }
    return best?.let { Choice.Chosen(it.endpoint) } ?: noEndpoint(input)
}

/** Returns the refusal of a request that no candidate can take. */
internal fun noEndpoint(input: RoutingInput): Choice.None =
    if (input.size == 0) {
        Choice.None(RefusalCode.UNREACHABLE, "no endpoint of the service is in service")
    } else {
        Choice.None(RefusalCode.OVERLOADED, "none of ${input.size} endpoints can take the request now")
    }
