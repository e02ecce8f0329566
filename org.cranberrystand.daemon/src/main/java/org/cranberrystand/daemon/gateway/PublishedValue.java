package org.cranberrystand.daemon.gateway;

/**
 * A value that operators or upstreams published.
 *
 * @param key the key
 * @param revision the revision of the last change
 * @param createdRevision the revision at which the key was created; 0 if unknown
 * @param text the value; null if it was deleted
 */
public record PublishedValue(String key, long revision, long createdRevision, String text) {

  /**
   * Creates a value of which the creation is unknown.
   *
   * @param key the key
   * @param revision the revision of the last change
   * @param text the value; null if it was deleted
   */
  public PublishedValue(String key, long revision, String text) {
    this(key, revision, 0, text);
  }

  /** Returns whether the key was created with this value. */
  boolean isCreation() {
    return createdRevision == revision;
  }

  public boolean isDeleted() {
    return text == null;
  }
}
