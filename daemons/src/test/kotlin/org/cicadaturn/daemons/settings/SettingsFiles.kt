package org.cicadaturn.daemons.settings

import arrow.core.Either
import java.nio.file.Path
import kotlin.io.path.writeText

/** Shared key in the settings files of the tests; it must not appear in any output. */
internal const val SECRET = "correct-horse-battery"

/** Valid settings file of an entry process with the required keys and a few others. */
internal val entryText =
    """
    [process]
    id = entry-1
    host = host-1
    failure-domain = kolkata

    [wire]
    key = $SECRET
    keepalive-interval = 1s
    keepalive-timeout = 3s

    [store]
    address = 10.0.0.1:2379

    [entry]
    listen = 127.0.0.1:8080
    max-attempts = 3
    """.trimIndent() + "\n"

/** Valid settings file of an endpoint process with the required keys and a few others. */
internal val endpointText =
    """
    [process]
    id = endpoint-process-1
    host = host-2
    failure-domain = kolkata
    admin-listen = 127.0.0.1:9001

    [wire]
    key = $SECRET

    [store]
    address = 10.0.0.1:2379

    [endpoint]
    id = drafting-1
    service = drafting
    listen = 127.0.0.1:9000
    backend = 127.0.0.1:8000
    kind = engine
    warm-bound = 16
    """.trimIndent() + "\n"

/** Writes [text] as a settings file into this folder and returns its path. */
internal fun Path.settingsFile(text: String): Path = resolve("settings.ini").also { it.writeText(text) }

/** Returns the settings, or fails the test with the faults. */
internal fun <T> Either<List<SettingsFault>, CheckedSettings<T>>.getOrFail(): T = checkedOrFail().settings

/** Returns the settings with their notices, or fails the test with the faults. */
internal fun <T> Either<List<SettingsFault>, CheckedSettings<T>>.checkedOrFail(): CheckedSettings<T> =
    fold({ faults -> throw AssertionError(faults.joinToString("\n") { it.message }) }, { it })
