package org.cranberrystand.pgm;

import com.google.common.collect.ImmutableList;
import org.cranberrystand.wire.operator.OperatorApi;
import picocli.CommandLine.Mixin;

/** Base class of commands that read one document from every given node. */
abstract class NodeQueryCommand {
  @Mixin private Output output;
  @Mixin private ConnectionOptions connection;

  final Output output() {
    return output;
  }

  final ConnectionOptions connection() {
    return connection;
  }

  /**
   * Reads a document from every given node and reports the nodes that failed on the error stream.
   *
   * @param <T> the type of the document
   * @param path the path below the prefix of the operator listener
   * @param type the type of the document
   * @return the documents of the nodes that answered; at least one
   * @throws CommandException if no node answered
   */
  final <T> ImmutableList<T> readAll(String path, Class<T> type) {
    ImmutableList<OperatorClient.Reply<T>> replies =
        connection.createClient().readAll(OperatorApi.PREFIX + path, type);
    ImmutableList.Builder<T> documents = ImmutableList.builder();
    for (OperatorClient.Reply<T> reply : replies) {
      if (reply.document() == null) {
        output.note(reply.address() + ": " + reply.failure());
      } else {
        documents.add(reply.document());
      }
    }
    ImmutableList<T> answers = documents.build();
    if (answers.isEmpty()) {
      throw CommandException.failed(
          "no node answered", "check the addresses, the token and that the nodes run");
    }
    return answers;
  }

  /**
   * Returns the exit code of a command that needs the answers of all nodes.
   *
   * @param reports the documents of the nodes that answered
   * @return {@link ExitCode#FAILED} if a node did not answer
   */
  final int exitCodeFor(ImmutableList<?> reports) {
    return reports.size() == connection.createClient().addresses().size()
        ? ExitCode.SUCCESS
        : ExitCode.FAILED;
  }
}
