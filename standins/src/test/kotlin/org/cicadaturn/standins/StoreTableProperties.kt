package org.cicadaturn.standins

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.Size
import org.cicadaturn.schema.generated.StoreEvents
import org.cicadaturn.schema.generated.Version
import org.cicadaturn.tasks.store.StoreError
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

class StoreTableProperties {
    /** Guards against skipped, repeated or reordered changes when answers are split and the history is compacted. */
    @Property(seed = "7405")
    fun `applying the watched changes reproduces the stored objects`(
        @ForAll @Size(max = 60) steps: List<
            @IntRange(min = 0, max = 15)
            Int,
        >,
        @ForAll @IntRange(min = 1, max = 8) historyEvents: Int,
        @ForAll @IntRange(min = 1, max = 7) readEvery: Int,
    ) {
        val table = StoreTable(StoreLimits(historyEvents = historyEvents, historyBytes = 12, answerBytes = 4))
        val follower = Follower(table)
        steps.forEachIndexed { index, step ->
            write(table, "k${step % 4}", delete = step >= 12, value = "v$index")
            if (index % readEvery == 0) follower.catchUp()
        }
        follower.catchUp()
        assertEquals(table.list("").objects.associate { it.key to it.value }, follower.objects)
    }

    private fun write(
        table: StoreTable,
        key: String,
        delete: Boolean,
        value: String,
    ) {
        val current = (table.get(key) as? StoreReply.Found)?.stored?.version
        if (delete && current != null) table.delete(key, current) else table.put(key, value, current)
    }

    /** Client that keeps a copy of the objects up to date from watch answers. */
    private class Follower(
        private val table: StoreTable,
    ) {
        val objects = mutableMapOf<String, String>()
        private var from = Version(0)

        fun catchUp() {
            while (true) {
                when (val reply = table.changes("", from)) {
                    null -> return
                    is StoreReply.Changed -> apply(reply.events)
                    is StoreReply.Failed -> relist(reply.error)
                    else -> throw AssertionError("unexpected $reply")
                }
            }
        }

        private fun apply(events: StoreEvents) {
            events.events.forEach { event ->
                assertEquals(from.number + 1, event.version.number) { "a change is missing or repeated" }
                val value = event.value
                if (value == null) objects.remove(event.key) else objects[event.key] = value
                from = event.version
            }
            assertEquals(from, events.version)
        }

        private fun relist(error: StoreError) {
            assertTrue(error is StoreError.Compacted && error.oldest > from) { "got $error at $from" }
            val list = table.list("")
            objects.clear()
            list.objects.associateTo(objects) { it.key to it.value }
            from = list.version
        }
    }
}
