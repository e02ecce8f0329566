package org.cranberrystand.daemon.internal;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;
import ratpack.exec.Downstream;
import ratpack.exec.Promise;
import ratpack.http.client.StreamedResponse;

/** Collects a response body in memory, up to a maximum size. Confined to one event loop. */
final class BodyCollector implements Subscriber<ByteBuf> {
  private final Downstream<? super byte[]> downstream;
  private final int maxBytes;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private Subscription subscription;
  private boolean completed;

  private BodyCollector(Downstream<? super byte[]> downstream, int maxBytes) {
    this.downstream = downstream;
    this.maxBytes = maxBytes;
  }

  /**
   * Collects the body of a response.
   *
   * @param response the response
   * @param maxBytes the maximum size of the body in bytes
   * @return the body; fails if the connection breaks or the body is too long
   */
  static Promise<byte[]> collect(StreamedResponse response, int maxBytes) {
    return Promise.async(
        downstream -> response.getBody().subscribe(new BodyCollector(downstream, maxBytes)));
  }

  @Override
  public void onSubscribe(Subscription value) {
    subscription = value;
    value.request(Long.MAX_VALUE);
  }

  @Override
  public void onNext(ByteBuf chunk) {
    byte[] copy = new byte[chunk.readableBytes()];
    chunk.readBytes(copy);
    chunk.release();
    if (body.size() + copy.length > maxBytes) {
      subscription.cancel();
      onError(new IOException("response body exceeds " + maxBytes + " bytes"));
    } else {
      body.writeBytes(copy);
    }
  }

  @Override
  public void onError(Throwable cause) {
    if (!completed) {
      completed = true;
      downstream.error(cause);
    }
  }

  @Override
  public void onComplete() {
    if (!completed) {
      completed = true;
      downstream.success(body.toByteArray());
    }
  }
}
