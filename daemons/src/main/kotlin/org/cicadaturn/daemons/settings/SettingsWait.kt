package org.cicadaturn.daemons.settings

import arrow.core.Either
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * What the wait for a settings file uses of the system.
 *
 * @property read reads the file
 * @property pause waits for the given time
 * @property elapsed returns the time since the wait began
 * @property announce tells an operator what is awaited
 */
internal class SettingsWait(
    val read: (Path) -> SettingsSource,
    val pause: (Duration) -> Unit,
    val elapsed: () -> Duration,
    val announce: (String) -> Unit,
)

/** Returns the wait of a process, which begins now. */
internal fun processWait(announce: (String) -> Unit): SettingsWait {
    val start = TimeSource.Monotonic.markNow()
    return SettingsWait(::readSource, { Thread.sleep(it.inWholeMilliseconds) }, start::elapsedNow, announce)
}

/**
 * Returns the settings from the file at [path], or all faults in it.
 *
 * A platform writes the file at each start of a process and whenever the settings change, so a process may read it while
 * it is absent or incomplete. Such a file is read again for up to [MAX_WAIT]; then its faults are returned. A file that
 * is complete but for the end of its last line is accepted when it has not changed for [SETTLE_TIME].
 */
internal fun <T> awaitSettings(
    path: Path,
    check: SettingsCheck<T>,
    wait: SettingsWait,
): Either<List<SettingsFault>, CheckedSettings<T>> {
    var last: SettingsSource? = null
    var unchangedSince = Duration.ZERO
    var isAnnounced = false
    while (true) {
        val source = wait.read(path)
        val now = wait.elapsed()
        if (source != last) unchangedSince = now
        last = source
        val (outcome, reason) = readingOf(path, source, check)
        val unfinished = if (wait.read(path) == source) reason else "it is being written"
        val isSettled = outcome.isRight() && now - unchangedSince >= SETTLE_TIME
        if (unfinished == null || isSettled || now >= MAX_WAIT) return outcome
        if (!isAnnounced) {
            wait.announce(
                "$path: not complete ($unfinished); the process waits for it for up to $MAX_WAIT",
            )
        }
        isAnnounced = true
        wait.pause(RETRY_PAUSE)
    }
}

/**
 * Outcome of one reading of a settings file.
 *
 * @property unfinished why the file may still be in the course of being written, or null if the outcome is final
 */
internal data class SettingsReading<out T>(
    val outcome: Either<List<SettingsFault>, CheckedSettings<T>>,
    val unfinished: String?,
)

/**
 * Returns what [source], the content of the file at [path], says by itself.
 *
 * A file may be unfinished if it is absent or empty, if its last line has no end, or if its only faults are required
 * keys that are missing after its last line. Any other fault is final, as no further lines would mend it.
 */
internal fun <T> readingOf(
    path: Path,
    source: SettingsSource,
    check: SettingsCheck<T>,
): SettingsReading<T> {
    val outcome = outcomeOf(path, source, check)
    val unfinished =
        when (source) {
            is SettingsSource.None -> source.fault.detail.takeIf { source.isPassing }
            is SettingsSource.Text -> unfinishedReason(source.text) { check(path, it).fold({ it }, { emptyList() }) }
        }
    return SettingsReading(outcome, unfinished)
}

private fun unfinishedReason(
    text: String,
    faultsOf: (String) -> List<SettingsFault>,
): String? {
    val lines = text.substring(0, text.lastIndexOf('\n') + 1)
    val faults = faultsOf(lines)
    if (!faults.all { isExplainedByCut(it, lines) }) return null
    return when {
        text.isBlank() -> "it is empty"
        lines != text -> "its last line has no end"
        faults.isNotEmpty() -> "required keys are missing at its end"
        else -> null
    }
}

/** Returns true if a file that begins with [lines] may go on so that [fault] is mended. */
internal fun isExplainedByCut(
    fault: SettingsFault,
    lines: String,
): Boolean {
    if (fault !is SettingsFault.MissingValue || fault.isGiven) return false
    val sections = sectionLine.findAll(lines).map { it.groupValues[1] }.toList()
    return fault.location.section == sections.lastOrNull() || fault.location.section !in sections
}

private val sectionLine = Regex("""(?m)^\s*\[([^]\r\n]*)]""")

/** Longest wait for a file, far above the moment for which one is absent or incomplete while it is written. */
internal val MAX_WAIT = 10.seconds

/** Time without a change after which the last line of a file counts as complete without its end. */
internal val SETTLE_TIME = 1.seconds

/** Pause between two readings; a reading takes a few milliseconds. */
private val RETRY_PAUSE = 100.milliseconds
