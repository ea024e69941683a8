package org.cicadaturn.tasks.wire

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.io.EOFException
import kotlinx.io.IOException
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import org.cicadaturn.schema.generated.Frame

/** Longest frame in bytes, without its length prefix. */
public const val MAX_FRAME_BYTES: Int = 1 shl 20

@OptIn(ExperimentalSerializationApi::class)
private val cbor =
    Cbor {
        ignoreUnknownKeys = true
        encodeDefaults = false
    }

/** Cached, because the generated function creates the serializers of all frames on each call. */
private val frameSerializer = Frame.serializer()

/** Returns [frame] encoded as CBOR. */
@OptIn(ExperimentalSerializationApi::class)
public fun encodeFrame(frame: Frame): ByteArray = cbor.encodeToByteArray(frameSerializer, frame)

/** Returns the frame encoded in [bytes], or [WireError.Malformed]. */
@OptIn(ExperimentalSerializationApi::class)
public fun decodeFrame(bytes: ByteArray): Either<WireError, Frame> =
    try {
        cbor.decodeFromByteArray(frameSerializer, bytes).right()
    } catch (e: SerializationException) {
        WireError.Malformed(detailOf(e)).left()
    } catch (e: IllegalArgumentException) {
        WireError.Malformed(detailOf(e)).left()
    } catch (e: IllegalStateException) {
        // The CBOR decoder throws this for an input that ends within a string.
        WireError.Malformed(detailOf(e)).left()
    } catch (e: IndexOutOfBoundsException) {
        // The CBOR decoder does not check every length against the input.
        WireError.Malformed(detailOf(e)).left()
    } catch (e: NegativeArraySizeException) {
        WireError.Malformed(detailOf(e)).left()
    } catch (e: IOException) {
        WireError.Malformed(detailOf(e)).left()
    }

/** Reads one frame of at most [limit] bytes. */
internal suspend fun ByteReadChannel.readFrame(limit: Int): Either<WireError, Frame> =
    try {
        val n = readInt()
        if (n < 0 || n > limit) {
            WireError.FrameTooLong(n.toUInt().toLong(), limit).left()
        } else {
            decodeFrame(readByteArray(n))
        }
    } catch (_: EOFException) {
        WireError.ConnectionLost("closed by the peer").left()
    } catch (e: IOException) {
        WireError.ConnectionLost(detailOf(e)).left()
    }

/** Writes [frame] without flushing. */
internal suspend fun ByteWriteChannel.writeFrame(frame: Frame) {
    val bytes = encodeFrame(frame)
    check(bytes.size <= MAX_FRAME_BYTES) { "frame of ${bytes.size} bytes is over $MAX_FRAME_BYTES; split it" }
    writeInt(bytes.size)
    writeByteArray(bytes)
}

/** Returns a short description of [e] for log lines. */
internal fun detailOf(e: Throwable): String = "${e::class.simpleName}: ${e.message.orEmpty().take(120)}"
