package org.cicadaturn.daemons

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.io.path.createDirectories
import kotlin.io.path.exists
import kotlin.io.path.readText
import kotlin.io.path.writeText

/** Tests the part of the build that creates the class archive, with a program in place of the virtual machine. */
class ClassArchiveTest {
    @TempDir
    lateinit var directory: Path

    private val archive get() = directory.resolve("app/gateway.jsa")

    /** Runs the script with [java] in place of the virtual machine and returns its exit code. */
    private fun createArchive(java: String): Int {
        val programs = directory.resolve("programs").createDirectories()
        val program = programs.resolve("java").also { it.writeText("#!/bin/sh\n$java\n") }
        check(program.toFile().setExecutable(true))
        val application = archive.parent.createDirectories()
        val script = Path.of("../bin/class-archive").toAbsolutePath().toString()
        val builder = ProcessBuilder("bash", script, application.toString()).redirectErrorStream(true)
        builder.environment().merge("PATH", "$programs:") { old, added -> added + old }
        val output = directory.resolve("output")
        return builder
            .redirectOutput(output.toFile())
            .start()
            .waitFor()
            .also { println(output.readText()) }
    }

    /** Guards against a build that fails because of an archive without which a gateway starts too. */
    @Test
    fun `a build goes on without a class archive`() {
        assertEquals(0, createArchive("exit 1"))
        assertFalse(archive.exists())
    }

    /** Guards against an incomplete archive in the application, with which each gateway ends before its main function. */
    @Test
    fun `an archive with which no process starts is not kept`() {
        val java =
            """
            for option; do
              case ${'$'}option in
                -XX:ArchiveClassesAtExit=*) echo incomplete > "${'$'}{option#*=}"; echo listens on; exit 0 ;;
                -XX:SharedArchiveFile=*) exit 134 ;;
              esac
            done
            """.trimIndent()
        assertEquals(0, createArchive(java))
        assertFalse(archive.exists())
    }
}
