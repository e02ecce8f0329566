/** Encoding of the load reports between nodes. */
package org.cranberrystand.wire.peer;
