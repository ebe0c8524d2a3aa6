package org.cassiastack.transport.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.Refusals;
import reactor.core.publisher.Mono;
import reactor.core.publisher.SynchronousSink;
import reactor.netty.http.server.HttpServerRequest;

/**
 * Reads HTTP request bodies up to a maximum size.
 *
 * @since 0.1
 */
public final class RequestBodies {
  private RequestBodies() {}

  /**
   * Reads the whole body of a request.
   *
   * @param request request whose body has not been read yet
   * @param maxBytes maximum size of the body in bytes
   * @return the bytes of the body. The {@code Mono} fails with a {@link CassiaException} if the
   *     body is larger than the maximum
   */
  public static Mono<byte[]> read(HttpServerRequest request, int maxBytes) {
    return Mono.using(
        Unpooled::buffer,
        body ->
            request
                .receive()
                .handle(
                    (ByteBuf chunk, SynchronousSink<Integer> sink) ->
                        append(body, chunk, maxBytes, sink))
                .then(Mono.fromSupplier(() -> ByteBufUtil.getBytes(body))),
        ByteBuf::release);
  }

  private static void append(
      ByteBuf body, ByteBuf chunk, int maxBytes, SynchronousSink<Integer> sink) {
    long size = (long) body.readableBytes() + chunk.readableBytes();
    if (size > maxBytes) {
      sink.error(CassiaException.of(Refusals.tooLarge(size, maxBytes)));
    } else {
      body.writeBytes(chunk);
    }
  }
}
