package org.cranberrystand.daemon.gateway;

import com.google.common.collect.ImmutableList;
import org.cranberrystand.upstream.RegisteredUpstream;

/** The content of one request, which may crash upstreams. Used only on the event loop. */
final class RequestContent {
  private final CrashDetector crashes;
  private final ContentKeys keys;
  private final RelayLog log;

  RequestContent(CrashDetector crashes, ContentKeys keys, RelayLog log) {
    this.crashes = crashes;
    this.keys = keys;
    this.log = log;
  }

  /** Returns for how long the content is refused; 0 if it is not. */
  long refusalMillis() {
    return crashes.refusalMillis(keys.all());
  }

  /** Records that an upstream survived the shared parts of the prompt. */
  void partsAnswered() {
    crashes.answered(keys.parts());
  }

  /** Records that an upstream sent a complete response. */
  void answered() {
    crashes.answered(keys.all());
  }

  /** Records that the request may have crashed the upstream of an attempt. */
  void recordBroken(RelayAttempt broken) {
    // Content that crashes upstreams does so before the first event.
    ImmutableList<Long> suspects = broken.hasEvents() ? ImmutableList.of(keys.whole()) : keys.all();
    RegisteredUpstream upstream = broken.upstream();
    crashes.connectionBroken(upstream, suspects, () -> log.crashSuspected(upstream, suspects));
  }
}
