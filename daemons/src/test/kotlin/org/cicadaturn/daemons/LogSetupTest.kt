package org.cicadaturn.daemons

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.message.StringMapMessage
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.ByteArrayOutputStream
import java.io.FilterOutputStream
import java.io.PrintStream
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

class LogSetupTest {
    /** Guards against text lines on standard output, a wrong level, and info and debug lines of libraries. */
    @Test
    fun `lines at or above the level go to standard error as text`() {
        val lines =
            linesOf("info", "text") {
                LogManager.getLogger("org.cicadaturn.tasks").info("entry: ready")
                LogManager.getLogger("org.cicadaturn.tasks").debug("entry: detail")
                LogManager.getLogger("io.ktor").info("library detail")
                LogManager.getLogger("io.ktor").warn("library warning")
            }
        assertEquals(2, lines.size)
        assertTrue(lines[0].matches(Regex("""\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z INFO  entry: ready""")), lines[0])
        assertTrue(lines[1].endsWith("WARN  library warning"), lines[1])
    }

    /** Guards against log lines that are forged with a line break in a value from outside. */
    @Test
    fun `line breaks in a message are escaped`() {
        val lines =
            linesOf("info", "text") { LogManager.getLogger("org.cicadaturn").warn("entry: path /a\nERROR forged") }
        assertEquals(1, lines.size)
        assertTrue(lines[0].endsWith("""entry: path /a\nERROR forged"""), lines[0])
    }

    /** Guards against JSON lines that do not parse, or that lose the level, the message or the exception. */
    @Test
    fun `JSON lines contain time, level, logger, message and exception`() {
        val lines =
            linesOf("debug", "json") {
                LogManager.getLogger("org.cicadaturn.tasks").debug("store: \"quoted\"\nline")
                LogManager.getLogger("org.cicadaturn.tasks").error("store: failed", IllegalStateException("cause"))
            }
        val (first, second) = lines.map { Json.parseToJsonElement(it).jsonObject }
        assertEquals("store: \"quoted\"\nline", first["message"]?.jsonPrimitive?.content)
        assertEquals("DEBUG", first["level"]?.jsonPrimitive?.content)
        assertEquals("org.cicadaturn.tasks", first["logger"]?.jsonPrimitive?.content)
        assertTrue(
            first
                .getValue("time")
                .jsonPrimitive.content
                .endsWith("Z"),
        )
        assertTrue(
            second
                .getValue("exception")
                .jsonPrimitive.content
                .startsWith("java.lang.IllegalStateException: cause"),
        )
    }

    /** Guards against decision fields that are only part of the message text. */
    @Test
    fun `the fields of a decision are fields of the JSON line`() {
        val lines =
            linesOf("info", "json") {
                LogManager.getLogger("org.cicadaturn.tasks").info(StringMapMessage().with("request", "r1"))
            }
        val message =
            Json
                .parseToJsonElement(lines.single())
                .jsonObject
                .getValue("message")
                .jsonObject
        assertEquals("r1", message["request"]?.jsonPrimitive?.content)
    }

    /** Guards against excessive logging that takes processor time from requests. */
    @Test
    fun `lines above the rate limit are dropped`() {
        val lines =
            linesOf("info", "json") {
                val logger = LogManager.getLogger("org.cicadaturn.tasks")
                repeat(5_000) { logger.info("line {}", it) }
            }
        assertTrue(lines.size in 1..2_000, "${lines.size} lines")
    }

    /** Guards against a warning, such as that of a request that was cut, that is dropped because of many other lines. */
    @Test
    fun `warnings are written beyond the rate limit`() {
        val lines =
            linesOf("info", "json") {
                val logger = LogManager.getLogger("org.cicadaturn.tasks")
                repeat(1_500) { logger.info("line {}", it) }
                repeat(20) { logger.warn("warning {}", it) }
            }
        assertEquals(20, lines.count { "warning" in it })
    }

    /** Guards against the loss of the lines that tell why a process ended, as they are still queued when it exits. */
    @Test
    fun `queued lines are written before the process exits`() {
        val out = ByteArrayOutputStream()
        val isRead = CountDownLatch(1)
        val blocked =
            object : FilterOutputStream(out) {
                override fun write(
                    bytes: ByteArray,
                    offset: Int,
                    length: Int,
                ) {
                    isRead.await(5, TimeUnit.SECONDS)
                    out.write(bytes, offset, length)
                }
            }
        val standardOutput = System.out
        System.setOut(PrintStream(blocked, true))
        try {
            setUpLogs("info", "json")
            repeat(100) { LogManager.getLogger("org.cicadaturn.tasks").info("line {}", it) }
            // A third of the longest wait, so that no line is written before the end of the process waits for it.
            CompletableFuture.delayedExecutor(100, TimeUnit.MILLISECONDS).execute(isRead::countDown)
            writeQueuedLogs()
            assertEquals(100, out.toString().lines().count { it.isNotEmpty() })
        } finally {
            isRead.countDown()
            setUpLogs("error", "text")
            System.setOut(standardOutput)
        }
    }

    private fun linesOf(
        level: String,
        format: String,
        block: () -> Unit,
    ): List<String> {
        val err = ByteArrayOutputStream()
        val out = ByteArrayOutputStream()
        val (standardError, standardOutput) = System.err to System.out
        System.setErr(PrintStream(err, true))
        System.setOut(PrintStream(out, true))
        try {
            setUpLogs(level, format)
            block()
        } finally {
            // Stops the queue of JSON lines, so that all lines are written.
            setUpLogs("error", "text")
            System.setErr(standardError)
            System.setOut(standardOutput)
        }
        val (used, unused) = if (format == "json") out to err else err to out
        assertEquals("", unused.toString())
        return used.toString().lines().filter { it.isNotEmpty() }
    }
}
