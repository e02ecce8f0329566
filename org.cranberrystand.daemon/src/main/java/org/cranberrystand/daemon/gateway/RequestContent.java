package org.cranberrystand.daemon.gateway;

import com.google.common.collect.ImmutableList;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import org.cranberrystand.dispatch.CallEnding;
import org.cranberrystand.dispatch.CrashRegister;

/** The content of one request, which may crash upstreams. Used only on the event loop. */
final class RequestContent {
  private final CrashDetector crashes;
  private final ContentKeys keys;
  private final RelayLog log;
  private boolean isProbe;

  RequestContent(CrashDetector crashes, ContentKeys keys, RelayLog log) {
    this.crashes = crashes;
    this.keys = keys;
    this.log = log;
  }

  /** Returns the key of the whole content. */
  long wholeKey() {
    return keys.whole();
  }

  /**
   * Returns for how long the content is refused; 0 if it may be sent. A request that may be sent to
   * find out which content crashes upstreams counts as sent for that from now on.
   */
  long refusalMillis() {
    CrashRegister.Verdict verdict = crashes.judge(keys.all());
    if (isProbe) {
      // Its own probe is what this request would have to wait for.
      return verdict.probedKeys().isEmpty() ? verdict.refusalMillis() : 0;
    }
    if (verdict.isProbe()) {
      isProbe = true;
      crashes.probeSent(verdict.probedKeys());
      log.probing(verdict.probedKeys());
    }
    return verdict.refusalMillis();
  }

  /**
   * Returns whether the content may be sent to a further upstream after an attempt that may have
   * run. Once an upstream has crashed with it, each request may try one only.
   */
  boolean mayRepeat(RelayAttempt attempt) {
    CrashRegister.Verdict verdict = crashes.judge(keys.all());
    return !isProbe
        && verdict.refusalNanos() == 0
        && verdict.probedKeys().isEmpty()
        && (attempt.hasSurvivedStart() || crashes.crashCount(keys.whole()) == 0);
  }

  /** Records that an upstream survived the shared parts of the prompt. */
  void partsAnswered() {
    crashes.answered(keys.parts());
  }

  /** Records that an upstream sent a complete response and does not say that it ran nothing. */
  void answered(RelayAttempt answered, HttpResponseStatus status) {
    crashes.survived(answered.upstream(), answered.connectedNanos());
    if (status.codeClass() == HttpStatusClass.SUCCESS) {
      crashes.answered(keys.all());
    } else {
      crashes.failed(answered.upstream(), keys.all());
    }
  }

  /**
   * Records that an attempt ended with its connection, and may have crashed its upstream.
   *
   * @param broken the attempt
   * @param repeat called once another upstream may get the request, as far as this attempt goes
   */
  void recordBroken(RelayAttempt broken, Runnable repeat) {
    crashes.connectionBroken(suspect(broken), repeat);
  }

  /** Records that an attempt is given up, and may still crash its upstream if it was sent. */
  void recordGivenUp(RelayAttempt givenUp, CallEnding ending) {
    if (givenUp.isSent()) {
      // A connection to an upstream that may be down would be used by the next request.
      crashes.attemptGivenUp(suspect(givenUp), ending.isUpstreamReachable());
    }
  }

  private CrashDetector.Suspect suspect(RelayAttempt attempt) {
    // Parts of the prompt that crash upstreams do so at the start.
    ImmutableList<Long> suspects =
        attempt.hasSurvivedStart() ? ImmutableList.of(keys.whole()) : keys.all();
    return new CrashDetector.Suspect(
        attempt.upstream(), attempt.connectedNanos(), System.nanoTime(), suspects, log);
  }
}
