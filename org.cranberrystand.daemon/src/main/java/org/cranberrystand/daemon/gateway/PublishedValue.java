package org.cranberrystand.daemon.gateway;

/**
 * A value that operators or upstreams published.
 *
 * @param key the key
 * @param revision the revision of the last change
 * @param createdRevision the revision at which the key was created; 0 if unknown
 * @param text the value, or what nodes use of it; null if it was deleted
 * @param defect why the text was dropped as unusable; empty if it was not
 */
public record PublishedValue(
    String key, long revision, long createdRevision, String text, String defect) {

  /**
   * Creates a value without a known defect.
   *
   * @param key the key
   * @param revision the revision of the last change
   * @param createdRevision the revision at which the key was created; 0 if unknown
   * @param text the value; null if it was deleted
   */
  public PublishedValue(String key, long revision, long createdRevision, String text) {
    this(key, revision, createdRevision, text, "");
  }

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

  /**
   * Returns this value with another text.
   *
   * @param reduced what nodes use of the text
   * @return the value, without a defect
   */
  public PublishedValue withText(String reduced) {
    return new PublishedValue(key, revision, createdRevision, reduced);
  }

  /**
   * Returns this value without its text, which cannot be used.
   *
   * @param reason why it cannot be used
   * @return the value, with an empty text
   */
  public PublishedValue unusable(String reason) {
    return new PublishedValue(key, revision, createdRevision, "", reason);
  }

  /** Returns whether the key was created with this value. */
  boolean isCreation() {
    return createdRevision == revision;
  }

  public boolean isDeleted() {
    return text == null;
  }
}
