package org.cicadaturn.tasks.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.Unpooled
import io.netty.handler.codec.ByteToMessageDecoder.Cumulator

/**
 * Copies what was read to a buffer of about its size. The buffer that it was read into, which is much larger than an
 * incomplete request, is returned at once instead of being kept for as long as the other side takes to send the rest.
 */
internal object CompactCumulator : Cumulator {
    override fun cumulate(
        allocator: ByteBufAllocator,
        cumulation: ByteBuf,
        added: ByteBuf,
    ): ByteBuf {
        if (!added.isReadable) {
            added.release()
            return cumulation
        }
        try {
            val target =
                if (added.readableBytes() <=
                    cumulation.writableBytes()
                ) {
                    cumulation
                } else {
                    grown(cumulation, added)
                }
            target.writeBytes(added)
            return target
        } finally {
            added.release()
        }
    }

    private fun grown(
        cumulation: ByteBuf,
        added: ByteBuf,
    ): ByteBuf {
        val needed = cumulation.readableBytes() + added.readableBytes()
        // Doubling keeps the cost of bytes that arrive one at a time linear.
        val size = if (cumulation.isReadable) maxOf(needed, 2 * cumulation.readableBytes()) else needed
        val target = Unpooled.buffer(size).writeBytes(cumulation)
        cumulation.release()
        return target
    }
}
