package org.cranberrystand.wire.peer;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.WireFormat;
import java.io.IOException;
import org.cranberrystand.membership.NodeInfo;

/** Encodes and decodes descriptions of nodes as messages of numbered fields. */
final class NodeInfoCodec {
  private static final int NAME = 1;
  private static final int HOST = 2;
  private static final int CALLER_ADDRESS = 3;

  /** Replaces the address for callers if that is the address of the VM and a port. */
  private static final int CALLER_PORT = 4;

  private static final int ACCEPTS_CALLERS = 5;
  private static final int CORES = 6;
  private static final int DOMAIN = 7;

  private NodeInfoCodec() {}

  /** Writes the fields of a node. */
  static void write(NodeInfo node, FieldWriter out) throws IOException {
    out.text(NAME, node.node());
    out.text(HOST, node.host());
    int port = callerPort(node);
    if (port > 0) {
      out.number(CALLER_PORT, port, 0);
    } else {
      out.text(CALLER_ADDRESS, node.callerAddress());
    }
    out.flag(ACCEPTS_CALLERS, node.acceptsCallers(), false);
    out.real(CORES, node.cores());
    out.text(DOMAIN, node.failureDomain());
  }

  /** Returns the port if the address for callers is the address of the VM and a port, or 0. */
  private static int callerPort(NodeInfo node) {
    String address = node.callerAddress();
    int hostLength = node.host().length();
    if (!address.startsWith(node.host())
        || address.length() <= hostLength + 1
        || address.length() > hostLength + 6
        || address.charAt(hostLength) != ':'
        || address.charAt(hostLength + 1) == '0') {
      return 0;
    }
    int port = 0;
    for (int i = hostLength + 1; i < address.length(); i++) {
      int digit = address.charAt(i) - '0';
      if (digit < 0 || digit > 9) {
        return 0;
      }
      port = 10 * port + digit;
    }
    return port;
  }

  /** Reads the fields of a node up to the current limit. */
  static NodeInfo read(CodedInputStream in) throws IOException {
    String name = "";
    String host = "";
    String callerAddress = "";
    int callerPort = 0;
    boolean acceptsCallers = false;
    double cores = 0;
    String domain = "";
    for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
      switch (WireFormat.getTagFieldNumber(tag)) {
        case NAME -> name = in.readString();
        case HOST -> host = in.readString();
        case CALLER_ADDRESS -> callerAddress = in.readString();
        case CALLER_PORT -> callerPort = in.readUInt32();
        case ACCEPTS_CALLERS -> acceptsCallers = in.readBool();
        case CORES -> cores = in.readDouble();
        case DOMAIN -> domain = in.readString();
        default -> in.skipField(tag);
      }
    }
    return new NodeInfo(
        name,
        host,
        callerPort > 0 ? host + ":" + callerPort : callerAddress,
        acceptsCallers,
        cores,
        domain);
  }
}
