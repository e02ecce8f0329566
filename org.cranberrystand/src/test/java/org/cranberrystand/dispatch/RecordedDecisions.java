package org.cranberrystand.dispatch;

import java.util.ArrayList;
import java.util.List;
import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.upstream.RegisteredUpstream;

/** Records the decisions of a {@link CallDispatcher}. */
final class RecordedDecisions implements DispatchOutput {
  record Sent(long key, String upstream) {}

  record Refused(long key, NotRunReason reason, long retryAfterMillis) {}

  final List<Sent> sent = new ArrayList<>();
  final List<Refused> refused = new ArrayList<>();

  @Override
  public void send(CallSpec call, RegisteredUpstream upstream, PlacementChoice choice) {
    sent.add(new Sent(call.key(), upstream.id()));
  }

  @Override
  public void refuse(CallSpec call, NotRunReason reason, long retryAfterMillis) {
    refused.add(new Refused(call.key(), reason, retryAfterMillis));
  }

  List<Long> sentKeys() {
    return sent.stream().map(Sent::key).toList();
  }
}
