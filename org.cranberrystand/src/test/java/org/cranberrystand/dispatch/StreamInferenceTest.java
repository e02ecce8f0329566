package org.cranberrystand.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.cranberrystand.dispatch.StreamInference.Basis;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class StreamInferenceTest {
  private static final String STREAM = "a";
  private static final Optional<String> POOL = Optional.of("pool");
  private static final StreamOrigins.Origin RUN = new StreamOrigins.Origin(STREAM, "pool", "v1");
  private static final StreamOrigins.Origin OTHER_RUN =
      new StreamOrigins.Origin(STREAM, "pool", "v2");

  private static Optional<ImmutableSet<String>> served(String... versions) {
    return Optional.of(ImmutableSet.copyOf(versions));
  }

  @DataProvider
  public Object[][] certain() {
    return new Object[][] {
      {ImmutableList.of(RUN), POOL, Optional.empty(), true, Basis.RUN},
      {ImmutableList.of(RUN), POOL, served("v1", "v2"), true, Basis.RUN},
      {ImmutableList.of(RUN), Optional.empty(), Optional.empty(), true, Basis.RUN},
      {ImmutableList.of(RUN), POOL, served("v1"), false, Basis.RUN},
      {ImmutableList.of(), POOL, served("v1"), true, Basis.HISTORY},
    };
  }

  /** Guards against losing streams whose version is certain. */
  @Test(dataProvider = "certain")
  public void certainStreamGoesOn(
      ImmutableList<StreamOrigins.Origin> runs,
      Optional<String> pool,
      Optional<ImmutableSet<String>> versions,
      boolean isConfirmed,
      Basis basis) {
    StreamInference.Result result =
        StreamInference.infer(STREAM, runs, pool, versions, isConfirmed);
    assertEquals(result.basis(), basis);
    assertEquals(result.origin(), Optional.of(RUN));
  }

  @DataProvider
  public Object[][] uncertain() {
    return new Object[][] {
      {ImmutableList.of(RUN, OTHER_RUN), POOL, served("v1"), true, Basis.SEVERAL_RUNS},
      {ImmutableList.of(RUN), POOL, served("v2"), true, Basis.RUN_WITHOUT_VERSION},
      {ImmutableList.of(), Optional.empty(), Optional.empty(), true, Basis.SEVERAL_POOLS},
      {ImmutableList.of(), POOL, Optional.empty(), true, Basis.HISTORY_TOO_SHORT},
      {ImmutableList.of(), POOL, served("v1"), false, Basis.HISTORY_NOT_CONFIRMED},
      {ImmutableList.of(), POOL, served("v1", "v2"), true, Basis.SEVERAL_VERSIONS},
      {ImmutableList.of(), POOL, served(), true, Basis.SEVERAL_VERSIONS},
    };
  }

  /** Guards against joining streams from two versions on a guess. */
  @Test(dataProvider = "uncertain")
  public void uncertainStreamIsRefused(
      ImmutableList<StreamOrigins.Origin> runs,
      Optional<String> pool,
      Optional<ImmutableSet<String>> versions,
      boolean isConfirmed,
      Basis basis) {
    StreamInference.Result result =
        StreamInference.infer(STREAM, runs, pool, versions, isConfirmed);
    assertEquals(result.basis(), basis);
    assertTrue(result.origin().isEmpty());
  }
}
