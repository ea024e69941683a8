package org.cicadaturn.bench.limits

import org.cicadaturn.schema.generated.LimiterComparison
import org.cicadaturn.schema.generated.LimitsBenchResult
import org.cicadaturn.schema.generated.LimitsControlTraffic
import org.cicadaturn.schema.generated.LimitsRun
import org.cicadaturn.schema.generated.LimitsTarget
import java.util.Locale

/** Returns [result] as text for a terminal. */
public fun limitsBenchText(result: LimitsBenchResult): String {
    val options = result.options
    val lines = ArrayList<String>()
    lines +=
        "seed ${options.seed}, ${options.nodes} nodes, ${options.organisations} organisations, " +
        "${options.tokensPerMinute} tokens a minute, " +
        "demand ${options.demandPercent}%, ${options.lossPercent}% of messages lost, ${options.minutes} min"
    lines += ""
    lines +=
        "scheme   fault           nodes  worst over  used   usable  refused  wait ms  in flight  B/s mean  B/s most"
    result.runs.forEach { lines += runLine(it) }
    if (result.control.isNotEmpty()) {
        lines += ""
        lines += "control bytes sent a second per node, by organisations; demand on all nodes"
        result.control.forEach { lines += controlLine(it) }
    }
    lines += ""
    lines += "ways of limiting on one process, requests four times as long in the second half"
    result.ideas.forEach { lines += comparisonLine(it) }
    lines += ""
    result.targets.forEach { lines += targetLine(it) }
    return lines.joinToString("\n", postfix = "\n")
}

private fun runLine(run: LimitsRun): String =
    "%-8s %-15s %5d  %+9.2f%%  %5.1f%%  %5.1f%%  %6.1f%%  %7.1f  %9d  %8.0f  %8.0f".format(
        Locale.ROOT,
        run.scheme,
        run.fault,
        run.demandNodes,
        100 * run.worstOver,
        100 * run.usedShare,
        100 * run.usableShare,
        100 * run.refusedShare,
        run.waitMsMean,
        run.mostInFlight,
        run.bytesPerSecond,
        run.bytesPerSecondMost,
    )

private fun controlLine(control: LimitsControlTraffic): String {
    val points =
        control.organisations.zip(control.bytesPerSecond).joinToString { (n, b) ->
            "%d: %.1f".format(Locale.ROOT, n, b)
        }
    return "demand %3d%%  nodes %3d  %s  slope %.3f  at 870 organisations %.0f".format(
        Locale.ROOT,
        control.demandPercent,
        control.nodes,
        points,
        control.slope,
        control.atDesign,
    )
}

private fun comparisonLine(comparison: LimiterComparison): String =
    "%-54s worst over %+7.2f%%  used %5.1f%%  refused %5.1f%%  longest pause %s".format(
        Locale.ROOT,
        comparison.name,
        100 * comparison.worstOver,
        100 * comparison.usedShare,
        100 * comparison.refusedShare,
        comparison.longestPause,
    )

private fun targetLine(target: LimitsTarget): String =
    "%-7s %s: %.4f, target %.4f".format(
        Locale.ROOT,
        if (target.met) "met" else "NOT MET",
        target.name,
        target.value,
        target.bound,
    )
