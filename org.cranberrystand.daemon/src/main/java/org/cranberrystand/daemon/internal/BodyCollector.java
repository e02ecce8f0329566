package org.cranberrystand.daemon.internal;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;
import ratpack.exec.Downstream;
import ratpack.exec.Promise;
import ratpack.http.client.StreamedResponse;

/** Reads whole bodies up to a limit. Confined to one event loop. */
final class BodyCollector implements Subscriber<ByteBuf> {
  private final Downstream<? super byte[]> result;
  private final int maxBytes;
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private Subscription subscription;
  private boolean ended;

  private BodyCollector(Downstream<? super byte[]> result, int maxBytes) {
    this.result = result;
    this.maxBytes = maxBytes;
  }

  /**
   * Reads the body of a response.
   *
   * @param response the response
   * @param maxBytes the largest accepted body
   * @return the body; fails if it breaks off or is too long
   */
  static Promise<byte[]> collect(StreamedResponse response, int maxBytes) {
    return Promise.async(
        result -> response.getBody().subscribe(new BodyCollector(result, maxBytes)));
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
    if (bytes.size() + copy.length > maxBytes) {
      subscription.cancel();
      onError(new IOException("answer longer than " + maxBytes + " bytes"));
    } else {
      bytes.writeBytes(copy);
    }
  }

  @Override
  public void onError(Throwable cause) {
    if (!ended) {
      ended = true;
      result.error(cause);
    }
  }

  @Override
  public void onComplete() {
    if (!ended) {
      ended = true;
      result.success(bytes.toByteArray());
    }
  }
}
