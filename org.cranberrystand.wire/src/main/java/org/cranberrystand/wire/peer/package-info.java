/** Messages between nodes. */
package org.cranberrystand.wire.peer;
