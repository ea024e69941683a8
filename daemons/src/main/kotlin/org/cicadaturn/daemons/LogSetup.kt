package org.cicadaturn.daemons

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.core.Filter
import org.apache.logging.log4j.core.appender.ConsoleAppender
import org.apache.logging.log4j.core.config.Configurator
import org.apache.logging.log4j.core.config.builder.api.AppenderComponentBuilder
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilder
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilderFactory
import org.apache.logging.log4j.core.config.builder.api.LayoutComponentBuilder
import org.apache.logging.log4j.core.config.builder.impl.BuiltConfiguration

/**
 * Directs the log lines of this process: JSON lines to standard output, text to standard error.
 *
 * JSON lines are written by a thread of their own from a bounded queue; lines that find it full, and lines beyond a
 * steady rate, are dropped, so that logging never holds up the work.
 *
 * @param level least severe level of the project's own lines: error, warn, info or debug
 * @param format text or json
 */
internal fun setUpLogs(
    level: String,
    format: String,
) {
    val own = Level.valueOf(level)
    // Libraries log at info and debug for each connection, which would drown the project's own lines.
    val libraries = if (own.isLessSpecificThan(Level.WARN)) Level.WARN else own
    val builder = ConfigurationBuilderFactory.newConfigurationBuilder()
    builder.setConfigurationName("cicadaturn")
    // The stop of a process is logged too; Log4j's own hook would race with it.
    builder.setShutdownHook("disable")
    val appender = builder.newAppender(APPENDER, "Console")
    val isJson = format == "json"
    val target = if (isJson) ConsoleAppender.Target.SYSTEM_OUT else ConsoleAppender.Target.SYSTEM_ERR
    appender.addAttribute("target", target)
    // Without it, a second set-up in one JVM would keep writing to the stream of the first.
    appender.addAttribute("follow", true)
    builder.add(appender.add(if (isJson) jsonLayout(builder) else textLayout(builder)))
    builder.add(builder.newLogger("org.cicadaturn", own))
    if (isJson) builder.add(queue(builder))
    val end = if (isJson) QUEUE else APPENDER
    builder.add(builder.newRootLogger(libraries).add(builder.newAppenderRef(end)))
    Configurator.reconfigure(builder.build())
}

private fun queue(builder: ConfigurationBuilder<BuiltConfiguration>): AppenderComponentBuilder =
    builder
        .newAppender(QUEUE, "Async")
        .addAttribute("blocking", false)
        .addAttribute("bufferSize", QUEUE_LINES)
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

/** Lines that wait to be written; about a megabyte. */
private const val QUEUE_LINES = 2_048

/** A process at the size to design for serves 22 requests per second; this leaves room for two lines for each. */
private const val LINES_PER_SECOND = 50
private const val BURST_LINES = 1_000

/** Line breaks in a message are escaped, so that no value from outside can forge a log line. */
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
