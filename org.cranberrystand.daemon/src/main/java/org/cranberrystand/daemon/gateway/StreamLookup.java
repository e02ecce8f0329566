package org.cranberrystand.daemon.gateway;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cranberrystand.dispatch.StreamOrigins;
import org.cranberrystand.dispatch.StreamOrigins.Origin;
import org.cranberrystand.upstream.RegisteredUpstream;

/**
 * Finds out where a stream began that a caller resumes, if need be from the other nodes. Used only
 * on the event loop.
 */
final class StreamLookup {
  /** Answers take some milliseconds; the question is repeated until then with each tick. */
  private static final long TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** Sends questions and answers to other nodes. */
  interface Messenger {
    void ask(ImmutableList<String> streams);

    void answer(String host, ImmutableList<Origin> origins);
  }

  /** A question of this node that is not answered yet. */
  private record Question(long askedNanos, Consumer<Optional<Origin>> receiver) {}

  private final StreamOrigins origins = new StreamOrigins();
  private final Map<String, Question> questions = new HashMap<>();
  private final Messenger messenger;

  StreamLookup(Messenger messenger) {
    this.messenger = messenger;
  }

  /** Records the first event of a stream that this node passes on. */
  void began(String stream, RegisteredUpstream upstream) {
    origins.began(stream, upstream, System.nanoTime());
  }

  /** Records the origin of a stream that was inferred. */
  void inferred(Origin origin) {
    origins.reported(origin, System.nanoTime());
  }

  /** Returns the origin of a stream; empty if this node does not know it. */
  Optional<Origin> known(String stream) {
    return origins.find(stream);
  }

  /**
   * Finds the origin of a stream.
   *
   * @param stream the identifier of the request that received the first event
   * @param receiver receives the origin, at once or later; empty if no node knows it in time
   */
  void find(String stream, Consumer<Optional<Origin>> receiver) {
    Optional<Origin> known = known(stream);
    if (known.isPresent()) {
      receiver.accept(known);
      return;
    }
    questions.merge(
        stream,
        new Question(System.nanoTime(), receiver),
        (first, second) ->
            new Question(first.askedNanos(), first.receiver().andThen(second.receiver())));
    messenger.ask(ImmutableList.of(stream));
  }

  /** Applies origins that another node reported, and answers its questions. */
  void reported(String host, ImmutableList<Origin> reported, ImmutableList<String> sought) {
    long now = System.nanoTime();
    for (Origin origin : reported) {
      origins.reported(origin, now);
      Question question = questions.remove(origin.stream());
      if (question != null) {
        question.receiver().accept(Optional.of(origin));
      }
    }
    ImmutableList<Origin> answers =
        sought.stream()
            .map(origins::find)
            .flatMap(Optional::stream)
            .collect(ImmutableList.toImmutableList());
    if (!answers.isEmpty()) {
      messenger.answer(host, answers);
    }
  }

  /** Returns the streams that began here recently, for reports to other nodes. */
  ImmutableList<Origin> recent() {
    return origins.recent(System.nanoTime());
  }

  /** Returns the number of questions that are not answered yet. */
  int pendingCount() {
    return questions.size();
  }

  /** Repeats open questions and gives up old ones; to be called at short intervals. */
  void tick(long nowNanos) {
    origins.expire(nowNanos);
    for (Map.Entry<String, Question> entry : ImmutableList.copyOf(questions.entrySet())) {
      if (nowNanos - entry.getValue().askedNanos() >= TIMEOUT_NANOS) {
        questions.remove(entry.getKey());
        entry.getValue().receiver().accept(Optional.empty());
      }
    }
    if (!questions.isEmpty()) {
      messenger.ask(ImmutableList.copyOf(questions.keySet()));
    }
  }
}
