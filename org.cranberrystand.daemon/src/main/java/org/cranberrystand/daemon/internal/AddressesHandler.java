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
 * Serves callers a list of node addresses and a block of request identifiers.
 *
 * <p>A leaving node lists only other nodes and issues no identifiers. Safe for use by several
 * threads.
 */
public final class AddressesHandler implements Handler {
  private static final int IDENTIFIER_BLOCK_SIZE = 16;
  private static final int TTL_SECONDS = 10;
  private static final String FAILURE_DOMAIN_PARAMETER = "failureDomain";

  private final NodeState state;
  private final AtomicLong nextOffset;

  /**
   * Creates a handler.
   *
   * @param state the state of the node
   */
  public AddressesHandler(NodeState state) {
    this.state = state;
    this.nextOffset = new AtomicLong(state.incarnation().id());
  }

  @Override
  public void handle(Context ctx) {
    ctx.getResponse().getHeaders().set(ApiHeaders.NODE, state.settings().node());
    String failureDomain =
        ctx.getRequest().getQueryParams().getOrDefault(FAILURE_DOMAIN_PARAMETER, "");
    AddressList list =
        new AddressList(selectAddresses(failureDomain), TTL_SECONDS, issueIdentifiers());
    ctx.getResponse().send("application/json", Json.toText(list));
  }

  private ImmutableList<AddressList.Address> selectAddresses(String failureDomain) {
    List<MemberRecord> members = new ArrayList<>(state.membership().get().all());
    if (!state.leaving().get()) {
      members.add(state.self().get());
    }
    ImmutableSet<String> leavingVms =
        state.entryVms().get().stream()
            .filter(VmEntry::isLeaving)
            .map(VmEntry::name)
            .collect(ImmutableSet.toImmutableSet());
    return AddressSelector.select(members, leavingVms, failureDomain, nextOffset.getAndIncrement())
        .stream()
        .map(
            member ->
                new AddressList.Address(
                    member.callerAddress(), member.failureDomain(), member.node()))
        .collect(ImmutableList.toImmutableList());
  }

  private List<String> issueIdentifiers() {
    if (state.leaving().get()) {
      return ImmutableList.of();
    }
    return state.issuer().nextBlock(IDENTIFIER_BLOCK_SIZE).stream()
        .map(state.idCodec()::encode)
        .toList();
  }
}
