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
 * Reads request bodies up to a bound.
 *
 * @since 0.1
 */
public final class RequestBodies {
  private RequestBodies() {}

  /**
   * Reads a body.
   *
   * @return its bytes, or a {@link CassiaException} when it is larger than the bound
   */
  public static Mono<byte[]> read(HttpServerRequest request, int maxBytes) {
    return Mono.using(
        Unpooled::buffer,
        all ->
            request
                .receive()
                .handle(
                    (ByteBuf part, SynchronousSink<Integer> sink) -> add(all, part, maxBytes, sink))
                .then(Mono.fromSupplier(() -> ByteBufUtil.getBytes(all))),
        ByteBuf::release);
  }

  private static void add(ByteBuf all, ByteBuf part, int maxBytes, SynchronousSink<Integer> sink) {
    long size = (long) all.readableBytes() + part.readableBytes();
    if (size > maxBytes) {
      sink.error(CassiaException.of(Refusals.tooLarge(size, maxBytes)));
    } else {
      all.writeBytes(part);
    }
  }
}
