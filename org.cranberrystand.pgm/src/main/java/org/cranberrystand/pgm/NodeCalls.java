package org.cranberrystand.pgm;

import com.google.common.collect.ImmutableList;
import org.cranberrystand.wire.operator.OperatorApi;
import picocli.CommandLine.Mixin;

/** What commands that read one document from every node have in common. */
abstract class NodeCalls {
  @Mixin private Output output;
  @Mixin private Connection connection;

  final Output output() {
    return output;
  }

  final Connection connection() {
    return connection;
  }

  /**
   * Reads a document from every node; says which nodes did not answer.
   *
   * @param <T> the type of the document
   * @param path the path below the prefix of the operator listener
   * @param type the type of the document
   * @return the documents
   */
  final <T> ImmutableList<T> readAll(String path, Class<T> type) {
    ImmutableList<OperatorClient.Reply<T>> replies =
        connection.open().readAll(OperatorApi.PREFIX + path, type);
    ImmutableList.Builder<T> documents = ImmutableList.builder();
    for (OperatorClient.Reply<T> reply : replies) {
      if (reply.document() == null) {
        output.note(reply.address() + ": " + reply.failure());
      } else {
        documents.add(reply.document());
      }
    }
    ImmutableList<T> answered = documents.build();
    if (answered.isEmpty()) {
      throw CommandFailure.failed(
          "no node answered", "check the addresses, the token and that the nodes run");
    }
    return answered;
  }

  /**
   * Returns the exit code of a command that needs the answers of all nodes.
   *
   * @param answered the documents
   * @return failed if a node did not answer
   */
  final int exitCodeFor(ImmutableList<?> answered) {
    return answered.size() == connection.open().addresses().size()
        ? ExitCode.DONE
        : ExitCode.FAILED;
  }
}
