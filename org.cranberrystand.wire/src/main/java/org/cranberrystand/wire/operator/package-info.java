/** Documents of the operator listener, shared by the daemon and the tool. */
package org.cranberrystand.wire.operator;
