package org.cranberrystand.daemon.gateway;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import io.netty.channel.DefaultEventLoop;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.cranberrystand.daemon.internal.EventLog;
import org.cranberrystand.upstream.RegisteredUpstream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class UpstreamVerifierTest {
  private static final int TIMEOUT_SECONDS = 5;
  private static final long STARTED_AT_MILLIS = 1_000;
  private static final RegisteredUpstream UPSTREAM =
      new RegisteredUpstream("a", "pool", "10.0.0.1:80", "d", "v1", 4, STARTED_AT_MILLIS, 0, false);

  /** Upstream that says when it started, or does not answer. */
  private static final class ScriptedRuns implements UpstreamRuns {
    private volatile long startedAtMillis = STARTED_AT_MILLIS;
    private volatile boolean silent;

    @Override
    public CompletionStage<Report> fetch(RegisteredUpstream upstream) {
      return silent
          ? CompletableFuture.failedFuture(new IOException("no answer"))
          : CompletableFuture.completedFuture(new Report(startedAtMillis, ImmutableList.of()));
    }
  }

  private DefaultEventLoop loop;
  private ScriptedRuns runs;
  private UpstreamVerifier verifier;

  @BeforeMethod
  public void createVerifier() {
    loop = new DefaultEventLoop();
    runs = new ScriptedRuns();
    verifier = new UpstreamVerifier(loop, new EventLog("n1"));
    verifier.setClient(runs);
  }

  @AfterMethod(alwaysRun = true)
  public void stopLoop() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private boolean verify() throws Exception {
    CompletableFuture<Boolean> result = new CompletableFuture<>();
    loop.execute(() -> verifier.verify(UPSTREAM, result::complete));
    return result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private void doubt() throws Exception {
    loop.submit(() -> verifier.doubt(UPSTREAM)).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    verify();
  }

  /** Guards against continuing streams at a process that took the place of the registered one. */
  @Test
  public void processThatStartedLaterIsNotTheRegisteredOne() throws Exception {
    runs.startedAtMillis = STARTED_AT_MILLIS + 1;
    assertEquals(verify(), false);
    assertEquals(verifier.isDoubted(UPSTREAM), true);

    runs.silent = true;
    assertEquals(verify(), false);
  }

  /** Guards against losing streams where upstreams do not say when they started. */
  @Test
  public void silentUpstreamIsTrustedUnlessItIsDoubted() throws Exception {
    runs.silent = true;
    assertEquals(verify(), true);

    doubt();
    assertEquals(verify(), false);
  }

  /** Guards against a doubt that stays although the same process answers. */
  @Test
  public void answerOfTheRegisteredProcessEndsADoubt() throws Exception {
    runs.silent = true;
    doubt();
    runs.silent = false;

    assertEquals(verify(), true);
    assertEquals(verifier.isDoubted(UPSTREAM), false);
  }

  /** Guards against a doubt that stays although the upstream registered after it. */
  @Test
  public void laterRegistrationOfTheSameProcessEndsADoubt() throws Exception {
    runs.silent = true;
    doubt();
    verifier.registered(UPSTREAM);
    assertEquals(verifier.isDoubted(UPSTREAM), true);

    TimeUnit.MILLISECONDS.sleep(1_050);
    verifier.registered(UPSTREAM);
    assertEquals(verifier.isDoubted(UPSTREAM), false);
  }
}
