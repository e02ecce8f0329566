/** Paths and documents of the operator API, shared by the daemon and the operator tool. */
package org.cranberrystand.wire.operator;
