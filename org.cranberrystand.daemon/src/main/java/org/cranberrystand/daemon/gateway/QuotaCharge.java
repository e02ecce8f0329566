package org.cranberrystand.daemon.gateway;

import java.util.Optional;
import org.cranberrystand.dispatch.QuotaLedger;
import org.cranberrystand.routing.TeamPolicy;

/** What one request took from the quota of its team. Used only on the event loop. */
final class QuotaCharge {
  private final QuotaLedger quotas;
  private final Optional<TeamPolicy> team;
  private final long tokens;
  private boolean refunded;

  /**
   * Creates the charge of an admitted request.
   *
   * @param quotas the quotas, from which the tokens are already taken
   * @param team the team; empty if the request is not charged
   * @param tokens the tokens of the request
   */
  QuotaCharge(QuotaLedger quotas, Optional<TeamPolicy> team, long tokens) {
    this.quotas = quotas;
    this.team = team;
    this.tokens = tokens;
  }

  /** Returns the tokens, once, because the request does not run here. */
  void refund() {
    if (!refunded) {
      refunded = true;
      team.ifPresent(charged -> quotas.refund(charged, tokens));
    }
  }
}
