package org.cranberrystand.daemon.internal;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.http.AddressList;
import org.cranberrystand.wire.http.ApiHeaders;
import ratpack.handling.Context;
import ratpack.handling.Handler;

/** Tells callers which nodes to use and issues identifiers. Safe for use by several threads. */
public final class AddressesHandler implements Handler {
  private static final int BLOCK_SIZE = 16;
  private static final int TTL_SECONDS = 10;

  private final NodeState state;

  /**
   * Creates a handler.
   *
   * @param state the state of the node
   */
  public AddressesHandler(NodeState state) {
    this.state = state;
  }

  @Override
  public void handle(Context ctx) {
    ctx.getResponse().getHeaders().set(ApiHeaders.NODE, state.settings().node());
    ImmutableList<AddressList.Address> addresses =
        state.entryVms().get().stream()
            .filter(vm -> !vm.isLeaving())
            .map(vm -> new AddressList.Address(vm.address(), vm.failureDomain(), vm.name()))
            .collect(ImmutableList.toImmutableList());
    List<String> identifiers =
        state.issuer().nextBlock(BLOCK_SIZE).stream().map(state.idCodec()::encode).toList();
    AddressList list = new AddressList(addresses, TTL_SECONDS, identifiers);
    ctx.getResponse().send("application/json", Json.toText(list));
  }
}
