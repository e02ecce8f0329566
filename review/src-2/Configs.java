import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Configurations of the operator. */
final class Configs {
  /** Tokens a second, and burst, of each tenant, as on the example messages of the deployment. */
  static final int QUOTA_TOKENS = 261_839;

  private Configs() {}

  /** Returns a configuration with one tenant, whose key is {@code k1}. */
  static String plain(int version) {
    return plain(version, 1);
  }

  /**
   * Returns a configuration with a route to a service for each kind of plain request.
   *
   * @param tenants how many tenants there are; their keys are {@code k1} and so on
   */
  static String plain(int version, int tenants) {
    String list = IntStream.rangeClosed(1, tenants).mapToObj(i -> """
        {"Name":"tenant-%d","ApiKeys":["k%d"],"Priority":1,"Unit":"tokens","PlainTokens":200,
         "RatePerS":%d,"Burst":%d}""".formatted(i, i, QUOTA_TOKENS, QUOTA_TOKENS))
        .collect(Collectors.joining(","));
    return """
        {"Version":%d,"Routes":[
        {"Name":"deposit","Host":"shop.example","Prefix":"/deposit/","Kind":"non_idempotent",
         "TimeoutMs":1500,"TargetLatencyMs":300,"Priority":0,"Service":"orders","MaxAttempts":1,
         "Public":false},
        {"Name":"stock","Host":"shop.example","Prefix":"/stock/","Kind":"idempotent",
         "TimeoutMs":1500,"TargetLatencyMs":300,"Priority":1,"Service":"lookups","MaxAttempts":2,
         "Public":false}],
        "Services":[{"Name":"orders","HealthPath":"/health","MaxConnections":110},
         {"Name":"lookups","HealthPath":"/health","MaxConnections":110}],
        "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,
         "IdleTimeoutMs":15000},
        "Tenants":[%s]}
        """.formatted(version, list);
  }
}
