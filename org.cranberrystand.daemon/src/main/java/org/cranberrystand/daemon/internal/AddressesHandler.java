package org.cranberrystand.daemon.internal;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.cranberrystand.membership.AddressSelector;
import org.cranberrystand.membership.MemberRecord;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.http.AddressList;
import org.cranberrystand.wire.http.ApiHeaders;
import org.cranberrystand.wire.platform.VmEntry;
import ratpack.handling.Context;
import ratpack.handling.Handler;

/**
 * Tells callers which nodes to use and issues identifiers.
 *
 * <p>A leaving node offers only other nodes and issues no identifiers. Safe for use by several
 * threads.
 */
public final class AddressesHandler implements Handler {
  private static final int BLOCK_SIZE = 16;
  private static final int TTL_SECONDS = 10;
  private static final String DOMAIN_PARAMETER = "failureDomain";

  private final NodeState state;
  private final AtomicLong turn;

  /**
   * Creates a handler.
   *
   * @param state the state of the node
   */
  public AddressesHandler(NodeState state) {
    this.state = state;
    this.turn = new AtomicLong(state.incarnation().id());
  }

  @Override
  public void handle(Context ctx) {
    ctx.getResponse().getHeaders().set(ApiHeaders.NODE, state.settings().node());
    String domain = ctx.getRequest().getQueryParams().getOrDefault(DOMAIN_PARAMETER, "");
    AddressList list = new AddressList(addresses(domain), TTL_SECONDS, identifiers());
    ctx.getResponse().send("application/json", Json.toText(list));
  }

  private ImmutableList<AddressList.Address> addresses(String domain) {
    List<MemberRecord> members = new ArrayList<>(state.membership().get().all());
    if (!state.leaving().get()) {
      members.add(state.self().get());
    }
    ImmutableSet<String> listedLeaving =
        state.entryVms().get().stream()
            .filter(VmEntry::isLeaving)
            .map(VmEntry::name)
            .collect(ImmutableSet.toImmutableSet());
    return AddressSelector.select(members, listedLeaving, domain, turn.getAndIncrement()).stream()
        .map(r -> new AddressList.Address(r.callerAddress(), r.failureDomain(), r.node()))
        .collect(ImmutableList.toImmutableList());
  }

  private List<String> identifiers() {
    if (state.leaving().get()) {
      return ImmutableList.of();
    }
    return state.issuer().nextBlock(BLOCK_SIZE).stream().map(state.idCodec()::encode).toList();
  }
}
