package org.cicadaturn.daemons.site

import kotlinx.serialization.json.JsonPrimitive
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class StoreContentTest {
    private val config = ObjectKey("config", "main")
    private val server = ObjectKey(SERVERS, "i-1")
    private val lease = ObjectKey("gateway-leases", "placement")

    private fun text(value: String) = JsonPrimitive(value)

    /** Guards against a stand-in that takes writes which the store refuses. */
    @Test
    fun `writes depend on the existence and the revision of the object`() {
        val created = StoreContent().create(lease, text("a"))
        assertEquals(CREATED, created.status)
        val content = created.content
        assertEquals(CONFLICT, content.create(lease, text("b")).status)
        assertEquals(CONFLICT, content.replace(lease, text("b"), expected = 1).status)
        assertEquals(NOT_FOUND, content.replace(server, text("b")).status)
        assertEquals(content, content.replace(lease, text("a"), expected = 2).content)
        assertEquals(3, content.replace(lease, text("b"), expected = 2).item?.revision)
    }

    /** Guards against objects that disappear before their finalizers, and entries of endpoints that stay. */
    @Test
    fun `a removed object waits for its finalizers`() {
        val content =
            StoreContent()
                .create(lease, text("a"), listOf("f"))
                .content
                .remove(lease)
                .content
        assertTrue(content.objects.getValue(lease).isDeleting)
        assertEquals(
            emptyMap<ObjectKey, StoredObject>(),
            content.replace(lease, text("a"), emptyList()).content.objects,
        )
        val servers =
            StoreContent()
                .create(server, text("a"), listOf("f"))
                .content
                .remove(server)
                .content
        assertEquals(emptyMap<ObjectKey, StoredObject>(), servers.objects)
    }

    /** Guards against a copy that keeps what the system wrote, or loses what the operator and the endpoints wrote. */
    @Test
    fun `a restored store has lost only what the system wrote`() {
        val copy = listOf(config, server, lease).fold(StoreContent()) { c, key -> c.write(key, text("old")).content }
        val newest =
            copy
                .write(config, text("new"))
                .content
                .write(lease, text("new"))
                .content
                .remove(server)
                .content
        val restored = newest.restoredFrom(copy)
        assertEquals(2, restored.era)
        assertEquals(mapOf(config to text("new"), lease to text("old")), restored.objects.mapValues { it.value.spec })
        assertEquals(copy.revision + 2, restored.revision)
        assertNull(restored.eventsAfter("config", newest.revision))
        assertEquals(listOf(config), restored.eventsAfter("config", copy.revision)?.map { it.item.key })
    }
}
