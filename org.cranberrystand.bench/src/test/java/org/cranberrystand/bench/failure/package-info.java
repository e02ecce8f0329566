/** Failure tests over real sockets. */
package org.cranberrystand.bench.failure;
