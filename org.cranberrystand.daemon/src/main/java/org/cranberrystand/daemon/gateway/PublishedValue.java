package org.cranberrystand.daemon.gateway;

/**
 * A value that operators or upstreams published.
 *
 * @param key the key
 * @param revision the revision of the last change
 * @param text the value; null if it was deleted
 */
public record PublishedValue(String key, long revision, String text) {

  public boolean isDeleted() {
    return text == null;
  }
}
