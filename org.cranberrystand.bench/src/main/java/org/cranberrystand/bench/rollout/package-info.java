/** Benchmark of membership and bundle distribution over real sockets. */
package org.cranberrystand.bench.rollout;
