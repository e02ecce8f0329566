/** Fleets of nodes, engines and platform in one process, over real sockets on loopback. */
package org.cranberrystand.bench.fleet;
