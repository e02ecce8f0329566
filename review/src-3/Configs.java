package review3;

/** Parts of the configurations that the operator writes. */
final class Configs {
  static final String LIMITS =
      "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
          + "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}";

  private Configs() {}

  static String service(String name) {
    return "{\"Name\":\""
        + name
        + "\",\"HealthPath\":\"/health\",\"MaxConnections\":110,"
        + "\"Protocol\":\"h1\",\"Tls\":false}";
  }

  /** Returns a tenant without a quota. */
  static String tenant(String name, String keys) {
    return "{\"Name\":\"" + name + "\",\"ApiKeys\":[" + keys + "]}";
  }
}
