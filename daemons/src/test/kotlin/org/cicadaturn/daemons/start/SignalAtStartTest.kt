package org.cicadaturn.daemons.start

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import java.nio.file.Path

/** Sends signals to processes that have begun to start; the class of the command tree is one of the first that they load. */
class SignalAtStartTest {
    @TempDir
    lateinit var directory: Path

    /** Guards against a SIGHUP that ends a process which is still loading its program. */
    @ParameterizedTest
    @EnumSource
    internal fun `a series of SIGHUP right after the start ends no process`(role: TestRole) {
        StartedProcess(role, directory).use { process ->
            process.awaitClass("CommandTreeKt")
            repeat(3) { process.signal("HUP") }
            process.awaitListening()
            process.signal("HUP")
            process.signal("TERM")
            assertEquals(0, process.awaitEnd(), "${process.lines()}")
        }
    }

    /** Guards against a stop during the start that looks like a crash. */
    @ParameterizedTest
    @EnumSource
    internal fun `SIGTERM right after the start ends a process cleanly`(role: TestRole) {
        StartedProcess(role, directory).use { process ->
            process.awaitClass("CommandTreeKt")
            process.signal("TERM")
            assertEquals(0, process.awaitEnd(), "${process.lines()}")
        }
    }
}
