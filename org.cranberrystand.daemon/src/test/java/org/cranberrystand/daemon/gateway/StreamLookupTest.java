package org.cranberrystand.daemon.gateway;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cranberrystand.dispatch.StreamOrigins.Origin;
import org.cranberrystand.upstream.RegisteredUpstream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class StreamLookupTest {
  private static final RegisteredUpstream UPSTREAM =
      new RegisteredUpstream("u", "llm", "10.0.0.1:80", "d", "v1.1", 4, 1, 0, false);

  /** A node whose messages reach another one, unless they are lost. */
  private static final class Node implements StreamLookup.Messenger {
    private final StreamLookup lookup = new StreamLookup(this);
    private Node other;
    private boolean losesMessages;

    @Override
    public void ask(ImmutableList<String> streams) {
      if (!losesMessages) {
        other.lookup.reported("asking", ImmutableList.of(), streams);
      }
    }

    @Override
    public void answer(String host, ImmutableList<Origin> origins) {
      other.lookup.reported("answering", origins, ImmutableList.of());
    }
  }

  private List<Optional<Origin>> found;

  @BeforeMethod
  public void forgetFound() {
    found = new ArrayList<>();
  }

  private static Node connected(Node node) {
    Node other = new Node();
    node.other = other;
    other.other = node;
    return other;
  }

  /** Guards against refusing a stream that began at another node, whose report was lost. */
  @Test
  public void originIsFoundAtAnotherNodeAlsoIfTheFirstQuestionIsLost() {
    Node asking = new Node();
    connected(asking).lookup.began("a1", UPSTREAM);
    asking.losesMessages = true;
    asking.lookup.find("a1", found::add);
    asking.losesMessages = false;
    asking.lookup.tick(System.nanoTime());

    assertEquals(found, List.of(Optional.of(new Origin("a1", "llm", "v1.1"))));
    assertEquals(asking.lookup.pendingCount(), 0);
  }

  /** Guards against a request that waits for ever because no node knows its stream. */
  @Test
  public void unknownStreamIsGivenUp() {
    Node asking = new Node();
    connected(asking);
    asking.lookup.find("a1", found::add);
    assertEquals(found, List.of());
    asking.lookup.tick(System.nanoTime() + TimeUnit.SECONDS.toNanos(1));

    assertEquals(found, List.of(Optional.empty()));
  }

  /** Guards against a resumed request that changes where its stream began. */
  @Test
  public void firstOriginIsKept() {
    Node node = new Node();
    node.lookup.began("a1", UPSTREAM);
    node.lookup.reported(
        "other", ImmutableList.of(new Origin("a1", "llm", "v2")), ImmutableList.of());
    node.lookup.find("a1", found::add);

    assertEquals(found.get(0).orElseThrow().softwareVersion(), "v1.1");
  }
}
