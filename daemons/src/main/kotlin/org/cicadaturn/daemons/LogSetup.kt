package org.cicadaturn.daemons

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.core.Filter
import org.apache.logging.log4j.core.appender.ConsoleAppender
import org.apache.logging.log4j.core.config.Configurator
import org.apache.logging.log4j.core.config.builder.api.AppenderComponentBuilder
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilder
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilderFactory
import org.apache.logging.log4j.core.config.builder.api.LayoutComponentBuilder
import org.apache.logging.log4j.core.config.builder.impl.BuiltConfiguration

/**
 * Configures logging for this process: JSON lines go to standard output, text lines to standard error.
 *
 * JSON lines are written by a separate thread from a bounded queue. Lines are dropped if the queue is full or the rate
 * limit is exceeded, so that logging never delays requests.
 *
 * @param level least severe level that the project's own loggers write: error, warn, info or debug
 * @param format text or json
 */
internal fun setUpLogs(
    level: String,
    format: String,
) {
    val own = Level.valueOf(level)
    // Libraries log every connection at info and debug, which would hide the project's own lines.
    val libraries = if (own.isLessSpecificThan(Level.WARN)) Level.WARN else own
    val builder = ConfigurationBuilderFactory.newConfigurationBuilder()
    builder.setConfigurationName("cicadaturn")
    // Log4j's shutdown hook would race with the log lines that a process writes while it stops.
    builder.setShutdownHook("disable")
    val appender = builder.newAppender(APPENDER, "Console")
    val isJson = format == "json"
    val target = if (isJson) ConsoleAppender.Target.SYSTEM_OUT else ConsoleAppender.Target.SYSTEM_ERR
    appender.addAttribute("target", target)
    // Without this, a second configuration in the same JVM would keep writing to the stream of the first one.
    appender.addAttribute("follow", true)
    builder.add(appender.add(if (isJson) jsonLayout(builder) else textLayout(builder)))
    builder.add(builder.newLogger("org.cicadaturn", own))
    if (isJson) builder.add(asyncAppender(builder))
    val rootAppender = if (isJson) QUEUE else APPENDER
    builder.add(builder.newRootLogger(libraries).add(builder.newAppenderRef(rootAppender)))
    Configurator.reconfigure(builder.build())
}

/** Writes the lines that wait in the queue, but for at most [MAX_FLUSH_MILLIS]; later lines are dropped. */
internal fun writeQueuedLogs() {
    LogManager.shutdown()
}

private fun asyncAppender(builder: ConfigurationBuilder<BuiltConfiguration>): AppenderComponentBuilder =
    builder
        .newAppender(QUEUE, "Async")
        .addAttribute("blocking", false)
        .addAttribute("bufferSize", QUEUE_CAPACITY_LINES)
        .addAttribute("shutdownTimeout", MAX_FLUSH_MILLIS)
        .addComponent(builder.newAppenderRef(APPENDER))
        .addComponent(
            builder
                .newFilter("BurstFilter", Filter.Result.NEUTRAL, Filter.Result.DENY)
                .addAttribute("level", Level.INFO)
                .addAttribute("rate", LINES_PER_SECOND)
                .addAttribute("maxBurst", BURST_LINES),
        )

private const val APPENDER = "console"
private const val QUEUE = "queue"

/** Longest wait at the end of the process for a reader of standard output that has fallen behind. */
private const val MAX_FLUSH_MILLIS = 300L

/** Maximum number of lines waiting to be written; about 1 MB. */
private const val QUEUE_CAPACITY_LINES = 2_048

/** A process at the design size serves 22 requests per second; the limit allows two lines per request. */
private const val LINES_PER_SECOND = 50
private const val BURST_LINES = 1_000

/** Escapes line breaks in messages, so that a value from outside cannot forge a log line. */
private const val TEXT_PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSS'Z'}{UTC} %-5level %encode{%message}{CRLF}%n%throwable"

private val jsonTemplate =
    """
    {
      "time": {"${'$'}resolver": "timestamp", "pattern": {"format": "yyyy-MM-dd'T'HH:mm:ss.SSS'Z'", "timeZone": "UTC"}},
      "level": {"${'$'}resolver": "level", "field": "name"},
      "logger": {"${'$'}resolver": "logger", "field": "name"},
      "thread": {"${'$'}resolver": "thread", "field": "name"},
      "message": {"${'$'}resolver": "message"},
      "exception": {"${'$'}resolver": "exception", "field": "stackTrace", "stackTrace": {"stringified": true}}
    }
    """.trimIndent()

private fun textLayout(builder: ConfigurationBuilder<BuiltConfiguration>): LayoutComponentBuilder =
    builder
        .newLayout(
            "PatternLayout",
        ).addAttribute("pattern", TEXT_PATTERN)
        .addAttribute("alwaysWriteExceptions", false)

private fun jsonLayout(builder: ConfigurationBuilder<BuiltConfiguration>): LayoutComponentBuilder =
    builder.newLayout("JsonTemplateLayout").addAttribute("eventTemplate", jsonTemplate)
